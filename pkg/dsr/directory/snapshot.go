package directory

import (
	"net/netip"
	"time"
)

const (
	// MaxStampAge is how long before the start of a process the list may last have been confirmed, for the process to take
	// it as complete: a VM that lost its power starts again within it. Agents that joined in between are not listed; those
	// that can be reached announce themselves.
	MaxStampAge = 10 * time.Second
	// MaxClockSkew is how far a stamp may be in the future.
	MaxClockSkew = time.Second
)

// Snapshot is the directory's content as kept in the object API.
type Snapshot struct {
	// Agents are the agents of each service.
	Agents map[string][]netip.AddrPort
	// Routes are the addresses that lead to each service, or led within MaxFlowAge; Configuration is the version of the
	// configuration up to which they are complete, 0 when they may not be.
	Routes        map[string][]netip.AddrPort
	Configuration uint64
	// Complete is set when no agent can have taken flows without being listed.
	Complete bool
}

// NewSnapshot returns what a process that started at the given time may take from a stored list, and from the stamp that
// was stored with it. The stamp counts only for the list that it names; the time of the list itself always does.
func NewSnapshot(started, now time.Time, list List, stamp Stamp) Snapshot {
	return Snapshot{
		Agents: list.Agents, Routes: list.Routes, Configuration: list.Configuration,
		Complete: IsFresh(started, now, ConfirmedAt(list, stamp)),
	}
}

// ConfirmedAt returns when a list was last known to be complete, zero for one that could not be read.
func ConfirmedAt(list List, stamp Stamp) time.Time {
	if !list.At.IsZero() && stamp.Digest == list.Digest && stamp.At.After(list.At) {
		return stamp.At
	}
	return list.At
}

// IsFresh reports whether a list that was confirmed at a time was so until shortly before the process started.
func IsFresh(started, now, confirmed time.Time) bool {
	return !confirmed.Before(started.Add(-MaxStampAge)) && !confirmed.After(now.Add(MaxClockSkew))
}
