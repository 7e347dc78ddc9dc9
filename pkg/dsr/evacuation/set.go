// Package evacuation holds the data centres that operators have evacuated: their targets take no new flows until the
// evacuation is withdrawn. It does no input or output.
package evacuation

import (
	"maps"
	"slices"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Kind is the kind of the objects by which operators declare evacuations; an object's name is the data centre, its
// value is ignored.
const Kind = resource.KindEvacuation

// Set is the evacuated data centres at one time. The zero value is unknown.
type Set struct {
	// Version is the object API's version at which the set was read, 0 when it is unknown. Of two sets the one with
	// the higher version is the later one.
	Version uint64
	// DataCentres are sorted and unique.
	DataCentres []string
}

// NewSet returns a set of data centres in any order.
func NewSet(version uint64, dataCentres []string) Set {
	sorted := slices.Sorted(slices.Values(dataCentres))
	return Set{Version: version, DataCentres: slices.Compact(sorted)}
}

// FromMembers returns a set of a map's keys.
func FromMembers(version uint64, members map[string]bool) Set {
	return Set{Version: version, DataCentres: slices.Sorted(maps.Keys(members))}
}

// Known reports whether the set was ever read.
func (s Set) Known() bool { return s.Version > 0 }

func (s Set) Contains(dataCentre string) bool {
	_, found := slices.BinarySearch(s.DataCentres, dataCentre)
	return found
}

// Replaces reports whether the set is later than another one, and so takes its place.
func (s Set) Replaces(o Set) bool { return s.Version > o.Version }

// Equal reports whether two sets name the same data centres, whatever their versions.
func (s Set) Equal(o Set) bool { return slices.Equal(s.DataCentres, o.DataCentres) }

// Union returns the data centres that either of two sets names, under this set's version.
func (s Set) Union(o Set) Set { return NewSet(s.Version, slices.Concat(s.DataCentres, o.DataCentres)) }

// Changed returns the data centres that only one of two sets names.
func (s Set) Changed(o Set) []string {
	var out []string
	for _, d := range s.DataCentres {
		if !o.Contains(d) {
			out = append(out, d)
		}
	}
	for _, d := range o.DataCentres {
		if !s.Contains(d) {
			out = append(out, d)
		}
	}
	return out
}
