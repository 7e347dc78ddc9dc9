package caller

// Promise says by what a request is protected against running twice.
type Promise uint8

// Promises.
const (
	// PromiseTicket submits with a ticket: at most once, whatever is repeated.
	PromiseTicket Promise = iota + 1
	// PromiseKey submits with an Idempotency-Key: at most once for each key.
	PromiseKey
	// PromisePlain submits without either: each submission runs at most once, and is only repeated when it did not run.
	PromisePlain
)
