package request

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// steer offers a submission without a slot to a peer whose target is free. It returns an outcome when the peer accepted
// the submission, a new decision when the submission remains here, or neither when there is no such peer.
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

// isTargetUnavailable reports whether this agent's target can't run the submission, so that a peer of unknown load is
// worth a try.
func (u *submission) isTargetUnavailable(d limit.Decision) bool {
	leaves := d.Reason == refusal.ReasonDraining || d.Reason == refusal.ReasonEvacuated
	return d.Verdict == limit.VerdictRefuse && (leaves || u.failure != nil)
}

// readmit admits the submission again: at the front of the queue if it had waited.
func (u *submission) readmit(d limit.Decision) limit.Decision {
	if d.Verdict == limit.VerdictWait {
		return u.s.limiter.Return(u.s.o.Now(), u.newWork())
	}
	return u.s.limiter.Admit(u.s.o.Now(), u.newWork())
}

// pickPeer returns the least loaded of a sample of peers with a free slot. With allowUnknown, it otherwise returns any
// peer of unknown load.
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

// runPeer offers the work to a peer, which starts it at once or declines it. A nil outcome means that the work was not
// run there, or may be repeated.
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
	u.s.updateLoad(p, res)
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
	return u.reply(res)
}

// canTryElsewhere reports whether a submission that a peer declined may be tried elsewhere. A target that shed the
// request may have seen it, so then only idempotent requests may.
func (u *submission) canTryElsewhere(res *http.Response) bool {
	if refusal.Reason(res.Header.Get(HeaderReason)) != refusal.ReasonTargetShed {
		return true
	}
	return u.isRepeatable() && u.s.budget.Withdraw()
}

func (u *submission) peerFailure(ctx context.Context, p Peer, err error, afterSend bool) *outcome {
	u.s.loads.markUnreachable(u.s.o.Now(), p.Agent)
	if !afterSend {
		u.returnToWaiting()
		return u.unsentOutcome(ctx)
	}
	o := u.afterSend(ctx, err)
	if o == nil {
		u.returnToWaiting()
	}
	return o
}

// relayRefusal forwards a refusal that the peer has recorded.
func (u *submission) relayRefusal(res *http.Response, run refusal.Run) *outcome {
	return &outcome{relayed: readRelayed(res), run: run}
}
