package ticket

// entry is the book's state of one ticket: 40 bytes.
type entry struct {
	secret      uint64
	fingerprint uint64
	expiry      int64
	ended       int64
	status      uint16
	state       State
}

// held reports whether a submission still holds the ticket.
func (e *entry) held() bool {
	return e.state == StateWaiting || e.state == StateRunning
}
