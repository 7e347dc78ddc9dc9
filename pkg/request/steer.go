package request

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// steer tries to give a submission without a slot to a peer whose target is free. It returns an outcome when the peer
// took it, a new decision when the submission stays here, or neither when there is no such peer.
func (u *submission) steer(d limit.Decision) (*limit.Decision, *outcome) {
	if u.steered || u.hops >= maxHops || u.steers >= maxSteers || !u.body.replayable() {
		return nil, nil
	}
	p, ok := u.s.pickPeer(u.blocked(d))
	if !ok {
		u.s.probe()
		return nil, nil
	}
	if d.Verdict == limit.VerdictWait && !u.s.limiter.Leave(u.work) {
		next := u.s.limiter.Poll(u.s.o.Now(), u.work)
		return &next, nil
	}
	u.steers++
	if o := u.runPeer(p); o != nil {
		return nil, o
	}
	next := u.readmit(d)
	return &next, nil
}

// blocked reports whether the own target is of no use, so that a peer of unknown load is worth a try.
func (u *submission) blocked(d limit.Decision) bool {
	leaves := d.Reason == refusal.ReasonDraining || d.Reason == refusal.ReasonEvacuated
	return d.Verdict == limit.VerdictRefuse && (leaves || u.failure != nil)
}

// readmit puts the submission back to where it was: to the front of the queue when it had waited.
func (u *submission) readmit(d limit.Decision) limit.Decision {
	if d.Verdict == limit.VerdictWait {
		return u.s.limiter.Return(u.s.o.Now(), u.newWork())
	}
	return u.s.limiter.Admit(u.s.o.Now(), u.newWork())
}

// pickPeer returns the least busy of a few peers that have a free slot. With blind set, any peer of unknown load will do.
func (s *Server) pickPeer(blind bool) (Peer, bool) {
	now := s.o.Now()
	if !blind && !s.loads.hopeful(now) {
		return Peer{}, false
	}
	candidates := s.o.Peers.Candidates()
	s.loads.keep(candidates)
	var best, unknown Peer
	bestRatio := 0.0
	found, blindFound := false, 0
	for _, p := range sample(candidates) {
		l, fresh := s.loads.fresh(now, p.Agent)
		if !fresh {
			blindFound++
			if rand.IntN(blindFound) == 0 {
				unknown = p
			}
			continue
		}
		if l.free() > 0 && (!found || l.ratio() < bestRatio) {
			best, bestRatio, found = p, l.ratio(), true
		}
	}
	if found {
		return best, true
	}
	return unknown, blind && blindFound > 0
}

// runPeer offers the work to a peer, which starts it now or not at all. A nil outcome means that it was not run there,
// or may run again.
func (u *submission) runPeer(p Peer) *outcome {
	if !u.begin() {
		return refused(callerGone())
	}
	u.s.logPlacement(u.r, "steer", p.Agent, "peer has a free slot")
	ctx, cancel := u.startContext()
	defer cancel(nil)
	late := time.AfterFunc(u.deadline.Add(2*u.s.o.Grace).Sub(u.s.o.Now()), func() { cancel(errDeadline) })
	defer late.Stop()
	u.stream()
	u.s.loads.sending(p.Agent, 1)
	res, sent, err := send(u.s.peers, u.s.toPeer(ctx, u, p, hopSteer))
	if err != nil {
		return u.peerFailure(ctx, p, err, sent)
	}
	defer res.Body.Close()
	late.Stop()
	defer u.boundOrphan(cancel)()
	u.s.learn(p, res)
	run := runOf(res)
	if run == refusal.RunNo && u.peerDeclined(res) {
		u.back()
		return nil
	}
	if run != "" {
		return u.relay(res, run)
	}
	removeOwnHeaders(res.Header)
	u.attempts++
	return u.answer(res)
}

// peerDeclined reports whether the submission may go on elsewhere: a target that shed it may have seen it, so that only
// idempotent work does.
func (u *submission) peerDeclined(res *http.Response) bool {
	if refusal.Reason(res.Header.Get(HeaderReason)) != refusal.ReasonTargetShed {
		return true
	}
	return u.repeatable() && u.s.budget.Withdraw()
}

func (u *submission) peerFailure(ctx context.Context, p Peer, err error, sent bool) *outcome {
	u.s.loads.unusable(u.s.o.Now(), p.Agent)
	if !sent {
		u.back()
		return u.unlessGone(ctx)
	}
	o := u.sent(ctx, err)
	if o == nil {
		u.back()
	}
	return o
}

// relay passes a refusal on that the peer has recorded.
func (u *submission) relay(res *http.Response, run refusal.Run) *outcome {
	return &outcome{relayed: readAnswer(res), run: run}
}
