package peer

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// historyLength is the number of revisions that are kept as bases of differences.
const historyLength = 8

// encodedService is the JSON encoding of one service of a revision.
type encodedService struct {
	name string
	json []byte
}

// encodedRevision is a revision in its encoded form, with services sorted by name.
type encodedRevision struct {
	number   uint64
	services []encodedService
	checksum uint64
}

// history keeps the last historyLength revisions in their encoded form. Consecutive revisions share the memory of equal
// services.
type history struct {
	mu        sync.Mutex
	revisions []*encodedRevision
}

// add adds a revision. One that isn't higher than the latest is ignored.
func (h *history) add(r resource.Revision) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := h.latest()
	if latest != nil && r.Number <= latest.number {
		return nil
	}
	e, err := encodeRevision(r, latest)
	if err != nil {
		return err
	}
	h.revisions = append(h.revisions, e)
	if len(h.revisions) > historyLength {
		h.revisions = slices.Delete(h.revisions, 0, 1)
	}
	return nil
}

func (h *history) latest() *encodedRevision {
	if len(h.revisions) == 0 {
		return nil
	}
	return h.revisions[len(h.revisions)-1]
}

// reply returns the latest revision, as a difference to the revision have when that one is kept.
func (h *history) reply(have uint64) *peerpb.FetchRevisionReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := h.latest()
	if latest == nil {
		return &peerpb.FetchRevisionReply{}
	}
	if have >= latest.number {
		return &peerpb.FetchRevisionReply{Number: latest.number, Base: latest.number, Checksum: latest.checksum}
	}
	return latest.difference(h.find(have))
}

func (h *history) find(number uint64) *encodedRevision {
	for _, r := range h.revisions {
		if r.number == number {
			return r
		}
	}
	return nil
}

// apply decodes the revision of a reply. It returns an error when the base of a difference isn't kept or the result
// doesn't match the checksum.
func (h *history) apply(p *peerpb.FetchRevisionReply) (resource.Revision, error) {
	services := make([]encodedService, 0, len(p.GetServices()))
	for _, b := range p.GetServices() {
		var name struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(b, &name); err != nil {
			return resource.Revision{}, trace.Wrap(err, "decode service of revision %d", p.GetNumber())
		}
		services = append(services, encodedService{name: name.Name, json: b})
	}
	if p.GetBase() != 0 {
		base := h.lookup(p.GetBase())
		if base == nil {
			return resource.Revision{}, trace.NotFound("revision %d refers to base revision %d, which is not in the history", p.GetNumber(), p.GetBase())
		}
		services = base.patched(services, p.GetRemoved())
	}
	return decodeRevision(p.GetNumber(), services, p.GetChecksum())
}

func (h *history) lookup(number uint64) *encodedRevision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.find(number)
}

func encodeRevision(r resource.Revision, last *encodedRevision) (*encodedRevision, error) {
	e := &encodedRevision{number: r.Number, services: make([]encodedService, 0, len(r.Services))}
	for _, s := range r.Services {
		b, err := json.Marshal(s)
		if err != nil {
			return nil, trace.Wrap(err, "encode service %s of revision %d", s.Name, r.Number)
		}
		if same, ok := last.service(s.Name); ok && bytes.Equal(same, b) {
			b = same
		}
		e.services = append(e.services, encodedService{name: s.Name, json: b})
	}
	sortServices(e.services)
	e.checksum = checksum(e.number, e.services)
	return e, nil
}

func decodeRevision(number uint64, services []encodedService, sum uint64) (resource.Revision, error) {
	if checksum(number, services) != sum {
		return resource.Revision{}, trace.BadParameter("revision %d does not match its checksum", number)
	}
	r := resource.Revision{Number: number, Services: make([]resource.ServiceConfig, len(services))}
	for i, s := range services {
		if err := json.Unmarshal(s.json, &r.Services[i]); err != nil {
			return resource.Revision{}, trace.Wrap(err, "decode service %s of revision %d", s.name, number)
		}
	}
	return r, nil
}

func checksum(number uint64, services []encodedService) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], number)
	d.Write(b[:])
	for _, s := range services {
		binary.BigEndian.PutUint64(b[:], uint64(len(s.json)))
		d.Write(b[:])
		d.Write(s.json)
	}
	return d.Sum64()
}

func sortServices(services []encodedService) {
	slices.SortFunc(services, func(a, b encodedService) int { return cmp.Compare(a.name, b.name) })
}

// service returns the JSON of a service; e may be nil.
func (e *encodedRevision) service(name string) ([]byte, bool) {
	if e == nil {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(e.services, name, func(s encodedService, n string) int { return cmp.Compare(s.name, n) })
	if !ok {
		return nil, false
	}
	return e.services[i].json, true
}

// difference returns a reply with the services that differ from base and the names of removed ones, or with all
// services when base is nil.
func (e *encodedRevision) difference(base *encodedRevision) *peerpb.FetchRevisionReply {
	p := &peerpb.FetchRevisionReply{Number: e.number, Checksum: e.checksum}
	if base != nil {
		p.Base = base.number
	}
	for _, s := range e.services {
		if b, ok := base.service(s.name); ok && bytes.Equal(b, s.json) {
			continue
		}
		p.Services = append(p.Services, s.json)
	}
	if base == nil {
		return p
	}
	for _, s := range base.services {
		if _, ok := e.service(s.name); !ok {
			p.Removed = append(p.Removed, s.name)
		}
	}
	return p
}

// patched returns the services of the revision after adding or replacing changed and deleting removed, sorted by name.
func (e *encodedRevision) patched(changed []encodedService, removed []string) []encodedService {
	byName := make(map[string]encodedService, len(e.services)+len(changed))
	for _, s := range e.services {
		byName[s.name] = s
	}
	for _, s := range changed {
		byName[s.name] = s
	}
	for _, name := range removed {
		delete(byName, name)
	}
	services := make([]encodedService, 0, len(byName))
	for _, s := range byName {
		services = append(services, s)
	}
	sortServices(services)
	return services
}
