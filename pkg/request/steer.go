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
	if u.steered || u.hops >= maxHops || u.steers >= maxSteers || !u.body.isReplayable() {
		return nil, nil
	}
	p, ok := u.s.pickPeer(u.isTargetUnavailable(d))
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

// isTargetUnavailable reports whether the own target is of no use, so that a peer of unknown load is worth a try.
func (u *submission) isTargetUnavailable(d limit.Decision) bool {
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
func (s *Server) pickPeer(allowUnknown bool) (Peer, bool) {
	now := s.o.Now()
	if !allowUnknown && !s.loads.mayHaveFreePeer(now) {
		return Peer{}, false
	}
	candidates := s.o.Peers.Candidates()
	s.loads.prune(candidates)
	var best, unknown Peer
	bestRatio := 0.0
	found, unknownSeen := false, 0
	for _, p := range samplePeers(candidates) {
		l, fresh := s.loads.fresh(now, p.Agent)
		if !fresh {
			unknownSeen++
			if rand.IntN(unknownSeen) == 0 {
				unknown = p
			}
			continue
		}
		if l.freeSlots() > 0 && (!found || l.ratio() < bestRatio) {
			best, bestRatio, found = p, l.ratio(), true
		}
	}
	if found {
		return best, true
	}
	return unknown, allowUnknown && unknownSeen > 0
}

// runPeer offers the work to a peer, which starts it now or not at all. A nil outcome means that it was not run there,
// or may run again.
func (u *submission) runPeer(p Peer) *outcome {
	if !u.startWork() {
		return refused(callerGone())
	}
	u.s.logPlacement(u.r, "steer", p.Agent, "peer has a free slot")
	ctx, cancel := u.workContext()
	defer cancel(nil)
	late := time.AfterFunc(u.deadline.Add(2*u.s.o.Grace).Sub(u.s.o.Now()), func() { cancel(errDeadline) })
	defer late.Stop()
	u.enableFullDuplex()
	u.s.loads.addSent(p.Agent, 1)
	res, sent, err := send(u.s.peers, u.s.peerRequest(ctx, u, p, hopSteer))
	if err != nil {
		return u.peerFailure(ctx, p, err, sent)
	}
	defer res.Body.Close()
	late.Stop()
	defer u.limitOrphan(cancel)()
	u.s.updatePeerLoad(p, res)
	run := runOf(res)
	if run == refusal.RunNo && u.canTryElsewhere(res) {
		u.returnToWaiting()
		return nil
	}
	if run != "" {
		return u.relayRefusal(res, run)
	}
	removeOwnHeaders(res.Header)
	u.attempts++
	return u.forwardResponse(res)
}

// canTryElsewhere reports whether the submission may go on elsewhere: a target that shed it may have seen it, so that only
// idempotent work does.
func (u *submission) canTryElsewhere(res *http.Response) bool {
	if refusal.Reason(res.Header.Get(HeaderReason)) != refusal.ReasonTargetShed {
		return true
	}
	return u.isRepeatable() && u.s.budget.Withdraw()
}

func (u *submission) peerFailure(ctx context.Context, p Peer, err error, sent bool) *outcome {
	u.s.loads.markUnreachable(u.s.o.Now(), p.Agent)
	if !sent {
		u.returnToWaiting()
		return u.unsentOutcome(ctx)
	}
	o := u.classifySentFailure(ctx, err)
	if o == nil {
		u.returnToWaiting()
	}
	return o
}

// relayRefusal passes a refusal on that the peer has recorded.
func (u *submission) relayRefusal(res *http.Response, run refusal.Run) *outcome {
	return &outcome{relayed: readRelayed(res), run: run}
}
