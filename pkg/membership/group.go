package membership

import (
	"cmp"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// maxGroupBytes is the maximum size of the members of one stored object, in bytes of JSON. It leaves room below
// objectapi.MaxValueSize for the encoding of the call.
const maxGroupBytes = objectapi.MaxValueSize / 2

// Group is the stored object with the live members of a data centre. A large data centre is stored in several parts.
type Group struct {
	// Holder and Term identify the lease grant under which the value was written.
	Holder     string `json:"holder"`
	Term       uint64 `json:"term"`
	DataCentre string `json:"dataCentre"`
	// Part is the number of this part, from 0.
	Part int `json:"part"`
	// Parts is the number of parts. Only the value of part 0 is valid; parts from that number on are ignored.
	Parts int `json:"parts"`
	// Members are the records of this part; they are sorted by ID across all parts.
	Members []Member `json:"members"`
}

// Grant implements lease.Stamp.
func (g *Group) Grant() lease.Grant {
	return lease.Grant{Holder: g.Holder, Term: g.Term}
}

// SetGrant implements lease.Stamp.
func (g *Group) SetGrant(grant lease.Grant) {
	g.Holder, g.Term = grant.Holder, grant.Term
}

// groupName returns the object name of a part.
func groupName(dataCentre string, part int) string {
	if part == 0 {
		return dataCentre
	}
	return fmt.Sprintf("%s-part-%d", dataCentre, part)
}

// splitGroup divides members into parts of at most maxBytes of JSON, in the given order. It returns at least one part,
// and a part has at least one member unless there are none.
func splitGroup(dataCentre string, members []Member, maxBytes int) ([]Group, error) {
	groups := []Group{{DataCentre: dataCentre}}
	size := 0
	for _, m := range members {
		b, err := json.Marshal(m)
		if err != nil {
			return nil, trace.Wrap(err, "encode member %s", m.ID)
		}
		last := &groups[len(groups)-1]
		if len(last.Members) > 0 && size+len(b) > maxBytes {
			groups = append(groups, Group{DataCentre: dataCentre, Part: len(groups)})
			last = &groups[len(groups)-1]
			size = 0
		}
		size += len(b) + 1
		last.Members = append(last.Members, m)
	}
	for i := range groups {
		groups[i].Parts = len(groups)
	}
	return groups, nil
}

// compareGroups orders parts by data centre and part number.
func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Part, b.Part))
}
