package membership

import (
	"slices"
	"sync"
	"time"
)

// minMassLoss is the smallest number of suspected members that counts as a mass loss, which is first attributed to the
// observer's own network.
const minMassLoss = 2

// Detector is the failure detector of one balancer. It watches the members that Watchers assigns to it, votes against
// silent ones and declares a member dead when a majority of its watchers suspects it. All methods are safe for
// concurrent use.
type Detector struct {
	cfg DetectorConfig

	mu        sync.Mutex
	table     *Table
	version   uint64
	balancers []Member
	watched   map[string]*watched
	votes     map[string]map[string]receivedVote
	peers     *peerReachability
	lastTick  time.Time
	lossSince time.Time
}

type receivedVote struct {
	vote Vote
	at   time.Time
}

// NewDetector returns a detector that reads the members of a table.
func NewDetector(cfg DetectorConfig, table *Table) *Detector {
	return &Detector{
		cfg:     cfg.withDefaults(),
		table:   table,
		watched: make(map[string]*watched),
		votes:   make(map[string]map[string]receivedVote),
		peers:   newPeerReachability(),
	}
}

// RecordHeartbeat records a heartbeat of a member and reports whether this detector watches the member. A heartbeat of
// an earlier incarnation is ignored.
func (d *Detector) RecordHeartbeat(id string, incarnation uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.watched[id]
	if !ok {
		return false
	}
	if incarnation < w.member.Incarnation {
		return true
	}
	w.silentSince = now
	w.seen = true
	w.failed = false
	if w.member.Role == RoleBalancer {
		d.peers.record(id, true, now)
	}
	return true
}

// HasSeen reports whether this detector watches the member and has received a heartbeat of its current incarnation.
func (d *Detector) HasSeen(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.watched[id]
	return ok && w.seen
}

// RecordFailure records that a member's host refused a packet or that its heartbeat stream broke. The member is
// suspected immediately, until its next heartbeat. Failures of other incarnations are ignored.
func (d *Detector) RecordFailure(id string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.watched[id]
	if !ok || w.member.Incarnation != incarnation {
		return
	}
	w.failed = true
}

// RecordPeerResult records whether a call to another balancer succeeded. The id may be any stable key of the balancer,
// for example its control address.
func (d *Detector) RecordPeerResult(id string, ok bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.record(id, ok, now)
}

// Vote records the vote of another watcher, or removes it when v is withdrawn.
func (d *Detector) Vote(v Vote, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byVoter := d.votes[v.Member]
	if v.Withdrawn {
		delete(byVoter, v.Voter)
		return
	}
	if byVoter == nil {
		byVoter = make(map[string]receivedVote)
		d.votes[v.Member] = byVoter
	}
	byVoter[v.Voter] = receivedVote{vote: v, at: now}
}

// Tick evaluates all watched members. It is to be called several times a second.
func (d *Detector) Tick(now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.compensatePause(now)
	d.refresh(now)
	d.expireVotes(now)
	decision := Decision{CutOff: d.isCutOff(now)}
	for _, id := range sortedKeys(d.watched) {
		d.evaluate(d.watched[id], &decision, now)
	}
	return decision
}

// compensatePause adds the length of a pause of the observer's own process to the last seen times, because heartbeats
// that arrived during the pause may still wait in its sockets.
func (d *Detector) compensatePause(now time.Time) {
	last := d.lastTick
	d.lastTick = now
	if last.IsZero() {
		return
	}
	gap := now.Sub(last)
	if gap <= d.cfg.PauseLimit {
		return
	}
	for _, w := range d.watched {
		w.silentSince = w.silentSince.Add(gap)
	}
}

// refresh applies the changes of the table. When the balancers change, the watchers of all members are assigned again.
func (d *Detector) refresh(now time.Time) {
	version := d.table.Version()
	if version == d.version {
		return
	}
	balancers := d.table.Balancers()
	reassign := !sameBalancers(balancers, d.balancers)
	d.balancers = balancers
	members := d.table.ChangedSince(d.version)
	if reassign {
		members = d.table.Members()
	}
	d.version = version
	for i := range members {
		if !d.updateWatch(&members[i], reassign, now) {
			delete(d.watched, members[i].ID)
		}
	}
}

// updateWatch updates the state of a member and reports whether this detector watches it. Unless reassign is set, the
// watchers of a watched member are kept while its location is the same.
func (d *Detector) updateWatch(m *Member, reassign bool, now time.Time) bool {
	if !m.Live() || m.ID == d.cfg.Self {
		return false
	}
	w, ok := d.watched[m.ID]
	if ok && !reassign && w.member.Region == m.Region && w.member.DataCentre == m.DataCentre {
		w.update(m, now)
		return true
	}
	watchers := d.table.Watchers(m)
	if !slices.Contains(watchers, d.cfg.Self) {
		return false
	}
	if !ok {
		w = &watched{member: *m, silentSince: now}
		d.watched[m.ID] = w
	}
	w.watchers = watchers
	w.update(m, now)
	return true
}

// update sets the member's record. A new incarnation gets the grace time to reach its watchers.
func (w *watched) update(m *Member, now time.Time) {
	if m.Incarnation > w.member.Incarnation {
		w.seen = false
		w.failed = false
		w.silentSince = now
	}
	w.member = *m
}

func (d *Detector) expireVotes(now time.Time) {
	for id, byVoter := range d.votes {
		for voter, v := range byVoter {
			if now.Sub(v.at) > d.cfg.VoteLifetime {
				delete(byVoter, voter)
			}
		}
		if len(byVoter) == 0 {
			delete(d.votes, id)
		}
	}
}

// isCutOff reports whether the observer considers itself cut off: several peers were called and none was reachable, or
// most members are suspect. A mass loss that lasts for MassLossHold while peers are reachable is accepted as real.
func (d *Detector) isCutOff(now time.Time) bool {
	isolated := d.peers.noneReachable(now)
	if !d.hasMassLoss(now) {
		d.lossSince = time.Time{}
		return isolated
	}
	if d.lossSince.IsZero() {
		d.lossSince = now
	}
	return isolated || now.Sub(d.lossSince) < d.cfg.MassLossHold
}

// hasMassLoss reports whether more than half of the members that have sent a heartbeat are suspect now.
func (d *Detector) hasMassLoss(now time.Time) bool {
	seen, lost := 0, 0
	for _, w := range d.watched {
		if !w.seen {
			continue
		}
		seen++
		if w.isSuspect(&d.cfg, now) {
			lost++
		}
	}
	return lost >= minMassLoss && lost*2 > seen
}

func (d *Detector) evaluate(w *watched, decision *Decision, now time.Time) {
	if decision.CutOff || !w.isSuspect(&d.cfg, now) {
		d.withdrawVote(w, decision)
		return
	}
	if now.Sub(w.lastVote) >= d.cfg.VoteRepeat {
		w.lastVote = now
		decision.Ballots = append(decision.Ballots, d.ballot(w, false))
	}
	if d.hasMajority(w) {
		decision.Dead = append(decision.Dead, deadRecord(w.member, now))
	}
}

func deadRecord(m Member, now time.Time) Member {
	m.State = StateDead
	m.Changed = now
	return m
}

// withdrawVote withdraws the observer's vote against the member, if there is one.
func (d *Detector) withdrawVote(w *watched, decision *Decision) {
	if w.lastVote.IsZero() {
		return
	}
	w.lastVote = time.Time{}
	decision.Ballots = append(decision.Ballots, d.ballot(w, true))
}

func (d *Detector) ballot(w *watched, withdrawn bool) Ballot {
	v := Vote{
		Voter:       d.cfg.Self,
		Member:      w.member.ID,
		Incarnation: w.member.Incarnation,
		Sequence:    w.member.Sequence,
		Withdrawn:   withdrawn,
	}
	others := slices.DeleteFunc(slices.Clone(w.watchers), func(id string) bool { return id == d.cfg.Self })
	return Ballot{Vote: v, To: others}
}

// hasMajority reports whether a majority of the member's watchers, counting the observer, suspects it.
func (d *Detector) hasMajority(w *watched) bool {
	count := 1
	for voter, v := range d.votes[w.member.ID] {
		if voter != d.cfg.Self && slices.Contains(w.watchers, voter) && w.matchesRecord(v.vote) {
			count++
		}
	}
	return count > len(w.watchers)/2
}
