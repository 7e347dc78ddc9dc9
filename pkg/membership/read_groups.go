package membership

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// ReadGroups returns the stored members of all data centres. When some objects can't be decoded, it returns the members
// of the others together with an error.
func ReadGroups(ctx context.Context, store objectapi.Store) ([]Member, error) {
	objects, _, err := store.List(ctx, resource.KindMembers)
	if err != nil {
		return nil, trace.Wrap(err, "list members")
	}
	groups, err := decodeGroups(objects)
	parts := make(map[string]int)
	for _, g := range groups {
		if g.Part == 0 {
			parts[g.DataCentre] = g.Parts
		}
	}
	var members []Member
	for _, g := range groups {
		if g.Part < parts[g.DataCentre] {
			members = append(members, g.Members...)
		}
	}
	return members, err
}

func decodeGroups(objects []objectapi.Object) ([]Group, error) {
	var groups []Group
	var errs []error
	for _, o := range objects {
		var g Group
		if err := json.Unmarshal(o.Value, &g); err != nil {
			errs = append(errs, trace.Wrap(err, "decode %s/%s", o.Kind, o.Name))
			continue
		}
		groups = append(groups, g)
	}
	return groups, trace.NewAggregate(errs...)
}
