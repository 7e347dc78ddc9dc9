package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTick = 250 * time.Millisecond

// observers simulates the detectors of several balancers on one injected clock and delivers their votes and records.
type observers struct {
	now       time.Time
	ids       []string
	tables    map[string]*Table
	detectors map[string]*Detector
	members   []Member
	// silent processes are dead; paused ones run no tick and send nothing.
	silent, paused map[string]bool
	// cut reports whether messages from one process to another are dropped; nil means never.
	cut func(from, to string) bool
	// cutOff holds the last Decision.CutOff of each observer.
	cutOff map[string]bool
}

func testMember(id, region, dc string, role Role) Member {
	return Member{ID: id, Role: role, Region: region, DataCentre: dc, Incarnation: 1, Sequence: 1, State: StateActive}
}

func newObservers(members ...Member) *observers {
	o := &observers{
		now: testTime, members: members,
		tables: map[string]*Table{}, detectors: map[string]*Detector{},
		silent: map[string]bool{}, paused: map[string]bool{}, cutOff: map[string]bool{},
	}
	for _, b := range balancersOf(members) {
		o.ids = append(o.ids, b.ID)
		o.tables[b.ID] = NewTable(TableConfig{})
		for _, m := range members {
			o.tables[b.ID].Merge(m, o.now)
		}
		o.detectors[b.ID] = NewDetector(DetectorConfig{Self: b.ID}, o.tables[b.ID])
	}
	return o
}

func balancersOf(members []Member) []Member {
	var balancers []Member
	for _, m := range members {
		if m.Role == RoleBalancer {
			balancers = append(balancers, m)
		}
	}
	return balancers
}

// fleet returns balancers and agents, spread over the data centres of a region.
func fleet(region string, dcs, balancers, agents int) []Member {
	var members []Member
	for i := range balancers {
		members = append(members, testMember(fmt.Sprintf("%s-b%d", region, i), region, fmt.Sprintf("%s-dc%d", region, i%dcs), RoleBalancer))
	}
	for i := range agents {
		members = append(members, testMember(fmt.Sprintf("%s-t%d", region, i), region, fmt.Sprintf("%s-dc%d", region, i%dcs), RoleAgent))
	}
	return members
}

func (o *observers) delivers(from, to string) bool {
	if o.silent[from] || o.silent[to] || o.paused[from] {
		return false
	}
	return o.cut == nil || !o.cut(from, to)
}

func (o *observers) run(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(testTick)
		o.step()
	}
}

func (o *observers) step() {
	if o.now.Sub(testTime)%time.Second == 0 {
		o.sendHeartbeats()
	}
	for _, id := range o.ids {
		if o.silent[id] || o.paused[id] {
			continue
		}
		o.recordPeerResults(id)
		decision := o.detectors[id].Tick(o.now)
		o.cutOff[id] = decision.CutOff
		for _, b := range decision.Ballots {
			o.sendBallot(b)
		}
		for _, m := range decision.Dead {
			o.tables[id].Merge(m, o.now)
		}
	}
	o.replicate()
}

func (o *observers) sendHeartbeats() {
	for _, m := range o.members {
		for _, id := range o.ids {
			if m.ID != id && o.delivers(m.ID, id) {
				o.detectors[id].RecordHeartbeat(m.ID, m.Incarnation, o.now)
			}
		}
	}
}

// recordPeerResults simulates calls of an observer to all other live balancers.
func (o *observers) recordPeerResults(id string) {
	for _, other := range o.ids {
		if m, _ := o.tables[id].Get(other); other != id && m.Live() {
			o.detectors[id].RecordPeerResult(other, o.delivers(id, other) && o.delivers(other, id), o.now)
		}
	}
}

func (o *observers) sendBallot(b Ballot) {
	for _, to := range b.To {
		if o.delivers(b.Vote.Voter, to) {
			o.detectors[to].Vote(b.Vote, o.now)
		}
	}
}

func (o *observers) replicate() {
	for _, from := range o.ids {
		for _, to := range o.ids {
			if from == to || !o.delivers(from, to) {
				continue
			}
			for _, m := range o.tables[from].Members() {
				o.tables[to].Merge(m, o.now)
			}
		}
	}
}

// deadIDs returns the members that are dead in an observer's table.
func (o *observers) deadIDs(id string) []string {
	var ids []string
	for _, m := range o.tables[id].Members() {
		if m.State == StateDead {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func dataCentreOf(members []Member) map[string]string {
	m := make(map[string]string)
	for _, member := range members {
		m[member.ID] = member.DataCentre
	}
	return m
}

func idsIn(members []Member, dc string) []string {
	var ids []string
	for _, m := range members {
		if m.DataCentre == dc {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func TestDetectorFaults(t *testing.T) {
	warm := 5 * time.Second
	cases := map[string]struct {
		members []Member
		fault   func(o *observers)
		after   time.Duration
		// want are the dead members in the table of each observer in checked.
		checked []string
		want    []string
	}{
		"nothing fails": {
			members: fleet("r", 3, 6, 20), after: 10 * time.Second, checked: []string{"r-b0", "r-b5"},
		},
		"one target dies": {
			members: fleet("r", 3, 6, 20), after: 3 * time.Second, checked: []string{"r-b0", "r-b5"}, want: []string{"r-t3"},
			fault: func(o *observers) { o.silent["r-t3"] = true },
		},
		"one balancer and a target die together": {
			members: fleet("r", 3, 6, 20), after: 8 * time.Second, checked: []string{"r-b1", "r-b5"}, want: []string{"r-b0", "r-t3"},
			fault: func(o *observers) { o.silent["r-t3"], o.silent["r-b0"] = true, true },
		},
		"one of two balancers dies": {
			members: fleet("r", 2, 2, 8), after: 3 * time.Second, checked: []string{"r-b1"}, want: []string{"r-b0"},
			fault: func(o *observers) { o.silent["r-b0"] = true },
		},
		"target dies before a lone balancer": {
			members: fleet("r", 1, 1, 3), after: 3 * time.Second, checked: []string{"r-b0"}, want: []string{"r-t1"},
			fault: func(o *observers) { o.silent["r-t1"] = true },
		},
		"one balancer alone doesn't receive a target's heartbeats": {
			members: fleet("r", 3, 6, 20), after: 10 * time.Second, checked: []string{"r-b0", "r-b1", "r-b2", "r-b3", "r-b4", "r-b5"},
			fault: func(o *observers) {
				watcher := Watchers(&o.members[9], o.members[:6])[0]
				target := o.members[9].ID
				o.cut = func(from, to string) bool { return from == target && to == watcher }
			},
		},
		"balancer without inbound traffic declares none dead": {
			members: fleet("r", 3, 6, 20), after: 30 * time.Second, checked: []string{"r-b2"},
			fault: func(o *observers) { o.cut = func(_, to string) bool { return to == "r-b2" } },
		},
		"balancer that reaches no peer declares none dead": {
			members: fleet("r", 1, 3, 20), after: 30 * time.Second, checked: []string{"r-b2"},
			fault: func(o *observers) {
				o.cut = func(from, to string) bool {
					other := func(id string) bool { return id == "r-b0" || id == "r-b1" || id == "r-t3" }
					return from == "r-b2" && other(to) || to == "r-b2" && other(from)
				}
			},
		},
		"most targets die while peers are reachable": {
			members: fleet("r", 1, 3, 6), after: 14 * time.Second, checked: []string{"r-b0", "r-b1", "r-b2"},
			want: []string{"r-t0", "r-t1", "r-t2", "r-t3", "r-t4", "r-t5"},
			fault: func(o *observers) {
				for i := range 6 {
					o.silent[fmt.Sprintf("r-t%d", i)] = true
				}
			},
		},
		"loss of most targets is held back at first": {
			members: fleet("r", 1, 3, 6), after: 8 * time.Second, checked: []string{"r-b0", "r-b1", "r-b2"},
			fault: func(o *observers) {
				for i := range 6 {
					o.silent[fmt.Sprintf("r-t%d", i)] = true
				}
			},
		},
		"data centre dies": {
			members: fleet("r", 4, 12, 40), after: 12 * time.Second, checked: []string{"r-b0", "r-b5"},
			want: idsIn(fleet("r", 4, 12, 40), "r-dc3"),
			fault: func(o *observers) {
				for _, id := range idsIn(o.members, "r-dc3") {
					o.silent[id] = true
				}
			},
		},
		"isolated data centre declares none dead": {
			members: fleet("r", 4, 12, 40), after: 30 * time.Second, checked: []string{"r-b3", "r-b7"},
			fault: func(o *observers) {
				dc := dataCentreOf(o.members)
				o.cut = func(from, to string) bool { return (dc[from] == "r-dc3") != (dc[to] == "r-dc3") }
			},
		},
		"partition between regions declares none dead on either side": {
			members: append(fleet("r", 2, 4, 10), fleet("s", 2, 4, 10)...), after: 60 * time.Second,
			checked: []string{"r-b0", "r-b3", "s-b0", "s-b3"},
			fault: func(o *observers) {
				o.cut = func(from, to string) bool { return from[0] != to[0] }
			},
		},
		"death in one region reaches the other": {
			members: append(fleet("r", 2, 4, 10), fleet("s", 2, 4, 10)...), after: 3 * time.Second,
			checked: []string{"r-b0", "s-b3"}, want: []string{"r-t1"},
			fault: func(o *observers) { o.silent["r-t1"] = true },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newObservers(c.members...)
			o.run(warm)
			if c.fault != nil {
				c.fault(o)
			}
			o.run(c.after)
			for _, id := range c.checked {
				require.Equal(t, c.want, o.deadIDs(id), "view of %s", id)
			}
		})
	}
}

func TestPausedObserverDeclaresNoneDeadOnResume(t *testing.T) {
	o := newObservers(fleet("r", 1, 2, 8)...)
	o.run(5 * time.Second)
	o.paused["r-b0"] = true
	o.run(30 * time.Second)
	require.Equal(t, []string{"r-b0"}, o.deadIDs("r-b1"))
	o.paused["r-b0"] = false
	decision := o.detectors["r-b0"].Tick(o.now)
	require.Empty(t, decision.Dead)
	require.Empty(t, decision.Ballots)
}

func TestRegionsConvergeAfterPartition(t *testing.T) {
	o := newObservers(append(fleet("r", 2, 4, 6), fleet("s", 2, 4, 6)...)...)
	o.run(5 * time.Second)
	o.cut = func(from, to string) bool { return from[0] != to[0] }
	o.silent["r-t1"], o.silent["s-t2"] = true, true
	o.run(60 * time.Second)
	require.Equal(t, []string{"r-t1"}, o.deadIDs("r-b0"))
	require.Equal(t, []string{"s-t2"}, o.deadIDs("s-b0"))
	o.cut = nil
	o.run(2 * time.Second)
	for _, id := range o.ids {
		require.Equal(t, []string{"r-t1", "s-t2"}, o.deadIDs(id))
		require.Equal(t, o.tables["r-b0"].Root(), o.tables[id].Root())
	}
}

func TestFailedMemberIsSuspectedImmediately(t *testing.T) {
	o := newObservers(fleet("r", 1, 3, 8)...)
	o.run(5 * time.Second)
	for _, id := range o.ids {
		o.detectors[id].RecordFailure("r-t1", 1)
	}
	o.silent["r-t1"] = true
	o.run(2 * testTick)
	require.Equal(t, []string{"r-t1"}, o.deadIDs("r-b0"))
}

func TestIgnoredVotes(t *testing.T) {
	vote := func(voter string) Vote {
		return Vote{Voter: voter, Member: "r-t1", Incarnation: 1, Sequence: 1}
	}
	old := vote("r-b1")
	old.Sequence = 0
	cases := map[string]struct {
		votes []Vote
		age   time.Duration
	}{
		"none":                {},
		"own":                 {votes: []Vote{vote("r-b0"), vote("r-b0")}},
		"not a watcher":       {votes: []Vote{vote("x"), vote("y")}},
		"about an old record": {votes: []Vote{old}},
		"outdated":            {votes: []Vote{vote("r-b1")}, age: 4 * time.Second},
		"withdrawn":           {votes: []Vote{vote("r-b1"), {Voter: "r-b1", Member: "r-t1", Withdrawn: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(TableConfig{})
			for _, m := range fleet("r", 1, 3, 8) {
				table.Merge(m, testTime)
			}
			d := NewDetector(DetectorConfig{Self: "r-b0"}, table)
			d.Tick(testTime)
			d.RecordFailure("r-t1", 1)
			for _, v := range c.votes {
				d.Vote(v, testTime)
			}
			require.Empty(t, d.Tick(testTime.Add(c.age)).Dead)
			d.Vote(vote("r-b2"), testTime.Add(c.age))
			require.Len(t, d.Tick(testTime.Add(c.age)).Dead, 1, "one more valid vote makes a majority")
		})
	}
}

func TestWatchers(t *testing.T) {
	members := append(fleet("r", 4, 12, 40), fleet("s", 1, 2, 2)...)
	balancers := balancersOf(members)
	dc := dataCentreOf(members)
	for _, m := range members {
		ids := Watchers(&m, balancers)
		require.NotContains(t, ids, m.ID)
		slices.Reverse(balancers)
		require.Equal(t, ids, Watchers(&m, balancers), "the order of the balancers must not matter")
		if m.Region == "s" {
			require.Len(t, ids, map[Role]int{RoleAgent: 2, RoleBalancer: 1}[m.Role], "watchers stay in the region")
			continue
		}
		require.Len(t, ids, WatcherCount)
		require.NotEqual(t, []string{dc[m.ID], dc[m.ID], dc[m.ID]}, []string{dc[ids[0]], dc[ids[1]], dc[ids[2]]}, "not all watchers in the member's data centre")
	}
	remote := testMember("q-t0", "q", "q-dc0", RoleAgent)
	require.Len(t, Watchers(&remote, balancers), WatcherCount, "agents of a region without balancers are watched from others")
}

func TestPauseDoesNotCountAsSilence(t *testing.T) {
	table := NewTable(TableConfig{})
	for _, m := range fleet("r", 1, 1, 1) {
		table.Merge(m, testTime)
	}
	d := NewDetector(DetectorConfig{Self: "r-b0"}, table)
	d.Tick(testTime)
	d.RecordHeartbeat("r-t0", 1, testTime)
	resumed := testTime.Add(30 * time.Second)
	require.Empty(t, d.Tick(resumed).Ballots)
	require.Empty(t, d.Tick(resumed.Add(time.Second)).Dead)
	require.Len(t, d.Tick(resumed.Add(2*time.Second)).Dead, 1)
}

func TestCutOffObserverDoesNotVote(t *testing.T) {
	table := NewTable(TableConfig{})
	for _, m := range fleet("r", 1, 3, 8) {
		table.Merge(m, testTime)
	}
	d := NewDetector(DetectorConfig{Self: "r-b0"}, table)
	d.Tick(testTime)
	d.RecordFailure("r-t1", 1)
	d.Vote(Vote{Voter: "r-b1", Member: "r-t1", Incarnation: 1, Sequence: 1}, testTime)
	d.RecordPeerResult("r-b1", false, testTime)
	d.RecordPeerResult("r-b2", false, testTime)
	decision := d.Tick(testTime)
	require.True(t, decision.CutOff)
	require.Empty(t, decision.Ballots)
	require.Empty(t, decision.Dead)
	d.RecordPeerResult("r-b2", true, testTime)
	require.Len(t, d.Tick(testTime).Dead, 1)
}
