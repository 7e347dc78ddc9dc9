package ctl

import (
	"context"
	"math"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// markStoredConflicts adds a mistake for each address that belongs to a stored service. This is only a preliminary check:
// the holder of the compile lease validates the services again after they are stored.
func markStoredConflicts(ctx context.Context, store objectapi.Store, list []Document) error {
	services, inForce, err := readStored(ctx, store)
	if err != nil {
		return err
	}
	index := make(map[string]int, len(list))
	merged := make([]resource.VersionedService, 0, len(services)+len(list))
	for i, d := range list {
		index[d.Name] = i
		// The store assigns each write a higher version than all stored ones.
		version := math.MaxUint64 - uint64(len(list)-i)
		merged = append(merged, resource.VersionedService{Service: d.Service, Version: version})
	}
	for _, v := range services {
		if _, replaced := index[v.Name]; !replaced {
			merged = append(merged, v)
		}
	}
	for _, r := range resource.ValidateAll(merged, inForce).Rejected {
		if i, ours := index[r.Service.Name]; ours {
			list[i].Errors = append(list[i].Errors, r.Fields...)
		}
	}
	return nil
}

// readStored returns the stored services, and the configurations in force whose specification is still the stored one.
func readStored(ctx context.Context, store objectapi.Store) ([]resource.VersionedService, []resource.ServiceConfig, error) {
	objects, _, err := store.List(ctx, resource.KindService)
	if err != nil {
		return nil, nil, trace.Wrap(err, "listing services")
	}
	accepted, err := acceptedVersions(ctx, store)
	if err != nil {
		return nil, nil, err
	}
	services := resource.ReadServices(objects)
	var inForce []resource.ServiceConfig
	for _, v := range services {
		if v.Unreadable == "" && accepted[v.Name] == v.Version {
			inForce = append(inForce, resource.ServiceConfig{Name: v.Name, Version: v.Version, Spec: v.Spec})
		}
	}
	return services, inForce, nil
}

// acceptedVersions returns the accepted version of each service that has one.
func acceptedVersions(ctx context.Context, store objectapi.Store) (map[string]uint64, error) {
	statuses, err := objectapi.ListTyped[resource.ServiceStatus](ctx, store, resource.KindServiceStatus)
	if err != nil {
		return nil, trace.Wrap(err, "listing the status of services")
	}
	m := make(map[string]uint64, len(statuses.Items))
	for _, s := range statuses.Items {
		m[s.Name] = s.Value.AcceptedVersion
	}
	return m, nil
}
