package membership

import (
	"cmp"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// maxGroupBytes bounds the members of one stored object, in bytes of JSON; it leaves room below
// objectapi.MaxValueSize for the encoding of the call.
const maxGroupBytes = objectapi.MaxValueSize / 2

// Group is the stored value of the live members of a data centre. A large data centre has several parts.
type Group struct {
	// Holder and Term are the grant under which the value was written.
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// DataCentre is the data centre of the members.
	DataCentre string `json:"dataCentre"`
	// Part is the number of this part.
	Part int `json:"part"`
	// Parts is the number of parts; it counts in part 0 only, and higher parts that are left over hold nothing.
	Parts int `json:"parts"`
	// Members are the records, sorted by ID over all parts.
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

// groupName returns the name of a part's object.
func groupName(dataCentre string, part int) string {
	if part == 0 {
		return dataCentre
	}
	return fmt.Sprintf("%s-part-%d", dataCentre, part)
}

// splitGroup divides members, sorted by ID, into parts of at most maxBytes. There is at least one part.
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

// compareGroups orders parts by data centre and number.
func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Part, b.Part))
}
