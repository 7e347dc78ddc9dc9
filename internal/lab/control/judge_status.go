package control

import (
	"strconv"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// statuses checks every status that operators could read against the records.
func (j *judge) statuses() {
	changes := make(map[uint64]serviceWrite)
	for _, s := range j.t.services {
		changes[s.version] = s
	}
	for _, w := range j.t.statuses {
		j.status(w, changes[w.status.ObservedVersion])
	}
}

func (j *judge) status(w statusWrite, judged serviceWrite) {
	c, _ := w.status.Condition(resource.ConditionAccepted)
	if judged.version == 0 {
		j.addViolation("status of %s refers to version %d, which was never stored", w.status.Name, w.status.ObservedVersion)
		return
	}
	if c.Status == resource.StatusFalse {
		j.checkRejection(w, judged, c)
	}
	if h, ok := j.accepted[w.status.ObservedVersion]; c.Status == resource.StatusTrue && (!ok || h.done.After(w.at)) {
		j.addViolation("status of %s says that version %d is accepted, but no head named it", w.status.Name, w.status.ObservedVersion)
	}
	if w.status.AcceptedRevision > 0 && w.status.InForce.Complete() {
		j.checkInForce(w)
	}
}

// checkRejection checks that the reason and the message of a rejection apply.
func (j *judge) checkRejection(w statusWrite, judged serviceWrite, c resource.Condition) {
	ok := false
	switch c.Reason {
	case resource.ReasonInvalid:
		ok = judged.service.Spec.Mode == invalidMode && strings.Contains(c.Message, "spec.mode")
	case resource.ReasonAddressConflict:
		ok = j.heldByOther(judged.service, c.Message)
	}
	if !ok {
		j.addViolation("status of %s rejects version %d for %s: %s, which isn't true", w.status.Name, judged.version, c.Reason, c.Message)
	}
}

// heldByOther reports whether an accepted revision has another service at an address of s, at the version that the
// message names.
func (j *judge) heldByOther(s resource.Service, message string) bool {
	claimed := keysOf(s.Spec)
	for _, h := range j.t.heads {
		for _, other := range h.revision.Services {
			named := strings.Contains(message, strconv.Quote(other.Name)+" (version "+strconv.FormatUint(other.Version, 10)+")")
			if other.Name != s.Name && named && overlap(claimed, keysOf(other.Spec)) {
				return true
			}
		}
	}
	return false
}

func keysOf(s resource.ServiceSpec) map[resource.AddressKey]bool {
	keys := make(map[resource.AddressKey]bool)
	for _, a := range s.Addresses {
		if k, ok := a.Key(); ok {
			keys[k] = true
		}
	}
	return keys
}

func overlap(a, b map[resource.AddressKey]bool) bool {
	for k := range a {
		if b[k] {
			return true
		}
	}
	return false
}

// checkInForce checks a status that reports a revision in force on every known balancer.
func (j *judge) checkInForce(w statusWrite) {
	accepted := j.acceptedAt(w.status.AcceptedRevision)
	for _, b := range j.balancers {
		if !b.readyAt(accepted) || (!b.died.IsZero() && !b.died.After(w.at)) {
			continue
		}
		if at, ok := b.inForceAt(w.status.AcceptedRevision); !ok || at.After(w.at) {
			j.addViolation("status of %s says that revision %d is in force on %s, but %s didn't use it", w.status.Name,
				w.status.AcceptedRevision, w.status.InForce, b.name)
		}
	}
}

// acceptedAt returns when the head first named a revision.
func (j *judge) acceptedAt(revision uint64) time.Time {
	for _, h := range j.t.heads {
		if h.head.Revision == revision {
			return h.done
		}
	}
	return time.Time{}
}
