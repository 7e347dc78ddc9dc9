package caller

// Protection is how a request is protected against running twice.
type Protection uint8

const (
	// ProtectionTicket submits with a ticket: the work runs at most once, however often it is submitted.
	ProtectionTicket Protection = iota + 1
	// ProtectionKey submits with an Idempotency-Key: the work runs at most once for each key.
	ProtectionKey
	// ProtectionNone submits without either. Work with an idempotent method may run more than once; other work is
	// repeated only when it did not run.
	ProtectionNone
)
