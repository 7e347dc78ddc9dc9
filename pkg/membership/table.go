package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// entry is the record of one member with the hashes that go into the digest.
type entry struct {
	member   Member
	idHash   uint32
	hash     uint64
	modified uint64
}

// Table is the set of member records held by a process. All methods are safe for concurrent use.
type Table struct {
	tombstoneLifetime time.Duration

	mu          sync.Mutex
	entries     map[string]*entry
	buckets     [bucketCount]map[uint32]*entry
	hashes      [bucketCount]uint64
	version     uint64
	unreachable map[string]bool
	subscribers map[chan struct{}]struct{}
	// balancers caches the result of Balancers; nil when invalid.
	balancers []Member
	// watchers caches the assignment of watchers among balancers; nil when invalid.
	watchers *WatcherSet
	// agents is the result of LiveAgents.
	agents int
	// balancerAdded is the result of BalancerAdded.
	balancerAdded time.Time
}

func NewTable(cfg TableConfig) *Table {
	t := &Table{
		tombstoneLifetime: cmp.Or(cfg.TombstoneLifetime, DefaultTombstoneLifetime),
		entries:           make(map[string]*entry),
		unreachable:       make(map[string]bool),
		subscribers:       make(map[chan struct{}]struct{}),
	}
	for i := range t.buckets {
		t.buckets[i] = make(map[uint32]*entry)
	}
	return t
}

// Merge merges a record into the table and reports whether the table changed. It ignores invalid records and expired
// tombstones.
func (t *Table) Merge(m Member, now time.Time) bool {
	if !m.Valid() {
		return false
	}
	m.normalise()
	m.Unreachable = false
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expired(&m, now) {
		return false
	}
	if !t.merge(m, now) {
		return false
	}
	t.notify()
	return true
}

func (t *Table) merge(m Member, now time.Time) bool {
	e, ok := t.entries[m.ID]
	if !ok {
		t.insert(m)
		t.recordAdded(&m, now)
		return true
	}
	before := e.member
	joined := merged(before, m)
	if joined == before {
		return false
	}
	t.replace(e, joined)
	if !before.Live() {
		t.recordAdded(&joined, now)
	}
	return true
}

// recordAdded records that a member was added or came back.
func (t *Table) recordAdded(m *Member, now time.Time) {
	if m.Role == RoleBalancer && m.Live() {
		t.balancerAdded = now
	}
}

// BalancerAdded returns when a live balancer was last added, or came back, by the clock of Merge.
func (t *Table) BalancerAdded() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancerAdded
}

func (t *Table) Get(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return Member{}, false
	}
	return t.export(e), true
}

// Members returns all records, tombstones included, sorted by ID.
func (t *Table) Members() []Member {
	return t.ChangedSince(0)
}

// ChangedSince returns the records that changed after the table had the given version, sorted by ID.
func (t *Table) ChangedSince(version uint64) []Member {
	t.mu.Lock()
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		if e.modified > version {
			members = append(members, t.export(e))
		}
	}
	t.mu.Unlock()
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Balancers returns the records of all balancers, tombstones included, sorted by ID. The list is shared and must not be
// modified.
func (t *Table) Balancers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancerList()
}

// LiveAgents returns the number of agents of all services that are neither dead nor left. Agents in an unreachable
// region count.
func (t *Table) LiveAgents() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agents
}

// Watchers returns the IDs of the balancers that watch m; see WatcherSet.
func (t *Table) Watchers(m *Member) []string {
	t.mu.Lock()
	if t.watchers == nil {
		t.watchers = NewWatcherSet(t.balancerList())
	}
	set := t.watchers
	t.mu.Unlock()
	return set.Of(m)
}

func (t *Table) balancerList() []Member {
	if t.balancers != nil {
		return t.balancers
	}
	t.balancers = []Member{}
	for _, e := range t.entries {
		if e.member.Role == RoleBalancer {
			t.balancers = append(t.balancers, t.export(e))
		}
	}
	slices.SortFunc(t.balancers, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return t.balancers
}

// Version returns a number that rises with every change of this table. Versions of different tables aren't comparable.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Expire removes the expired tombstones and returns their number.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed := 0
	for _, e := range t.entries {
		if !t.expired(&e.member, now) {
			continue
		}
		t.remove(e)
		removed++
	}
	if removed > 0 {
		t.notify()
	}
	return removed
}

// Remove removes a member without leaving a tombstone. It is meant for tables that mirror another one.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return
	}
	t.remove(e)
	t.notify()
}

// SetUnreachable marks the members of a region as unreachable from this process, or as reachable, and reports whether
// that is a change.
func (t *Table) SetUnreachable(region string, unreachable bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreachable[region] == unreachable {
		return false
	}
	t.unreachable[region] = unreachable
	t.balancers = nil
	t.version++
	t.notify()
	return true
}

// Subscribe returns a channel that receives a value after changes, and a function that ends the subscription. Changes
// while a value is pending are coalesced.
func (t *Table) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[c] = struct{}{}
	return c, func() { t.unsubscribe(c) }
}

func (t *Table) unsubscribe(c chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.subscribers, c)
}

func (t *Table) notify() {
	for c := range t.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (t *Table) export(e *entry) Member {
	m := e.member
	m.Unreachable = t.unreachable[m.Region]
	return m
}

func (t *Table) expired(m *Member, now time.Time) bool {
	return m.State.Gone() && now.Sub(m.Changed) > t.tombstoneLifetime
}

func (t *Table) insert(m Member) {
	e := &entry{idHash: HashID(m.ID)}
	t.entries[m.ID] = e
	t.buckets[bucketOf(e.idHash)][e.idHash] = e
	t.replace(e, m)
}

func (t *Table) replace(e *entry, m Member) {
	b := bucketOf(e.idHash)
	t.hashes[b] ^= e.hash
	t.invalidateBalancers(&e.member)
	t.invalidateBalancers(&m)
	t.agents += liveAgents(&m) - liveAgents(&e.member)
	e.member = m
	e.hash = recordHash(&m)
	t.hashes[b] ^= e.hash
	t.version++
	e.modified = t.version
}

// invalidateBalancers drops the cached balancers and watchers when m is a balancer.
func (t *Table) invalidateBalancers(m *Member) {
	if m.Role == RoleBalancer {
		t.balancers = nil
		t.watchers = nil
	}
}

// liveAgents returns the contribution of one member to LiveAgents.
func liveAgents(m *Member) int {
	if m.Role != RoleAgent || m.State.Gone() {
		return 0
	}
	return 1
}

func (t *Table) remove(e *entry) {
	t.invalidateBalancers(&e.member)
	t.agents -= liveAgents(&e.member)
	b := bucketOf(e.idHash)
	t.hashes[b] ^= e.hash
	delete(t.buckets[b], e.idHash)
	delete(t.entries, e.member.ID)
	t.version++
}
