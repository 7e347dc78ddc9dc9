package caller

// Protection says by what a request is protected against running twice.
type Protection uint8

// Promises.
const (
	// ProtectionTicket submits with a ticket: at most once, whatever is repeated.
	ProtectionTicket Protection = iota + 1
	// ProtectionKey submits with an Idempotency-Key: at most once for each key.
	ProtectionKey
	// ProtectionNone submits without either: each submission runs at most once, and is only repeated when it did not run.
	ProtectionNone
)
