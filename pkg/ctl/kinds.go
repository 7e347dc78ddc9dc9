package ctl

import (
	"slices"
	"strings"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// kinds has the kinds that get and watch accept.
var kinds = []objectapi.Kind{
	resource.KindService, resource.KindServiceStatus, resource.KindDSRServiceStatus, resource.KindHead, resource.KindRevision,
	resource.KindLease, resource.KindMembers, resource.KindRollout, resource.KindClaim, resource.KindEvacuation, resource.KindEra,
}

// parseKind parses the name of a kind; an empty name means services.
func parseKind(name string) (objectapi.Kind, error) {
	k := objectapi.Kind(name)
	if k == "" || k == "services" {
		k = resource.KindService
	}
	if slices.Contains(kinds, k) {
		return k, nil
	}
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k))
	}
	return "", &usageError{reason: "unknown kind " + name + "; known are " + strings.Join(names, ", ")}
}
