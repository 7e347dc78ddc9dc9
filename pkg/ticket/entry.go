package ticket

// entry is what the book keeps of one ticket: 40 bytes.
type entry struct {
	secret      uint64
	fingerprint uint64
	expiry      int64
	ended       int64
	status      uint16
	state       State
}

// pending reports whether a submission still holds the ticket.
func (e *entry) pending() bool {
	return e.state == StateWaiting || e.state == StateRunning
}
