package refusal

import (
	"net/netip"
	"time"
)

// Reason is why a flow or request was refused. Each value is explained in docs/OPERATIONS.md.
type Reason string

const (
	ReasonUnknownAddress  Reason = "unknown-address"
	ReasonNoTarget        Reason = "no-target"
	ReasonAllFull         Reason = "all-targets-full"
	ReasonDraining        Reason = "target-draining"
	ReasonTargetDied      Reason = "target-died"
	ReasonTargetRefused   Reason = "target-refused-connection"
	ReasonWrongService    Reason = "wrong-service"
	ReasonOwnerLost       Reason = "owner-lost"
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonQueueFull       Reason = "queue-full"
	ReasonTooManyFlows    Reason = "too-many-flows"
	ReasonDeadline        Reason = "deadline-cannot-be-met"
	ReasonCancelled       Reason = "cancelled-by-caller"
	ReasonTargetShed      Reason = "target-shed"
	ReasonTicketUnknown   Reason = "ticket-unknown"
	ReasonTicketExpired   Reason = "ticket-expired"
	ReasonTicketSpent     Reason = "ticket-spent"
	ReasonTicketGone      Reason = "ticket-issuer-gone"
	ReasonClaimed         Reason = "key-claimed-before"
	ReasonClaimStore      Reason = "claim-store-unavailable"
	ReasonRetryBudget     Reason = "retry-budget-spent"
	ReasonDrainTimeOver   Reason = "drain-time-over"
	ReasonMalformed       Reason = "malformed-request"
	ReasonTargetFailed    Reason = "target-failed"
	ReasonEvacuated       Reason = "data-centre-evacuated"
	ReasonRegion          Reason = "no-target-in-allowed-region"
	ReasonConnectionLimit Reason = "connection-limit"
	ReasonOverloaded      Reason = "service-overloaded"
	ReasonTargetGone      Reason = "target-gone"
)

// Run is whether the refused work was run.
type Run string

const (
	// RunNo means that the work was not run and never will be.
	RunNo Run = "no"
	// RunUnknown means that the work may have been run.
	RunUnknown Run = "unknown"
)

// Record describes one refusal, or several equal ones that were merged.
type Record struct {
	// ID identifies the record: the deciding process, its incarnation and a counter.
	ID string `json:"id"`
	// Time is when the refusal was decided; for a merged record, the first refusal.
	Time time.Time `json:"time"`
	// Last is the time of the last refusal of a merged record; zero for a single one.
	Last time.Time `json:"last,omitzero"`
	// Count is the number of refusals in the record, at least 1. Only in mirrored records it may be 0: such a record is
	// not a refusal but a receipt for records that are in the store.
	Count uint32 `json:"count"`
	// Service is the service's name; empty for an unknown address.
	Service string `json:"service,omitempty"`
	// Caller is the caller's address; for a merged record, that of the first refusal.
	Caller netip.AddrPort `json:"caller"`
	// Callers is the smallest network that contains the callers of a merged record; missing for a single one.
	Callers netip.Prefix `json:"callers,omitzero"`
	// Destination is the address to which the caller connected.
	Destination netip.AddrPort `json:"destination"`
	// Flow is the hash of the flow key; 0 if there is none.
	Flow uint64 `json:"flow,omitempty"`
	// Request is the ticket ID or claim name of a request; empty for a flow.
	Request string `json:"request,omitempty"`
	// DecidedBy names the process that decided, or the target that shed the request.
	DecidedBy string `json:"decidedBy"`
	// Revision is the configuration revision under which it was decided.
	Revision uint64 `json:"revision"`
	Reason   Reason `json:"reason"`
	// Detail is one plain sentence about the cause, for example the observed load.
	Detail string `json:"detail,omitempty"`
	// Run is whether the work was run.
	Run Run `json:"run"`
}

// Recorder accepts refusal records. Record sets ID, Time, Count and DecidedBy if they are empty, and returns the ID; it
// never blocks on I/O.
type Recorder interface {
	Record(r Record) string
}
