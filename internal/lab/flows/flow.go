package flows

import (
	"net/netip"
	"time"
)

// kind is what a flow does.
type kind uint8

const (
	kindDownload kind = iota + 1
	kindUpload
	kindPacedDownload
	kindEcho
	kindDatagrams
)

// String returns the kind's name.
func (k kind) String() string {
	switch k {
	case kindDownload:
		return "download"
	case kindUpload:
		return "upload"
	case kindPacedDownload:
		return "paced-download"
	case kindEcho:
		return "echo"
	case kindDatagrams:
		return "datagrams"
	}
	return "unknown"
}

func (k kind) long() bool { return k >= kindPacedDownload }

// plan is one flow before it starts.
type plan struct {
	name    string
	kind    kind
	service string
	local   netip.AddrPort
	remote  netip.AddrPort
	// start is the time after the start of the run.
	start time.Duration
	// size is the number of bytes of a short flow.
	size int64
	// hold is how long a long flow lasts; every is the time between its chunks.
	hold, every time.Duration
}

// verdict is how a flow ended.
type verdict uint8

const (
	verdictIntact verdict = iota + 1
	// verdictBroken means that it ended early.
	verdictBroken
	// verdictCrossed means that another service answered.
	verdictCrossed
	// verdictMixed means that wrong bytes arrived.
	verdictMixed
)

// outcome is one flow after its end.
type outcome struct {
	plan    *plan
	verdict verdict
	err     error
	// target names the target that answered; empty when none did.
	target string
	started,
	ended time.Time
	// opened is the time from the start to the first byte of the answer.
	opened time.Duration
	// stall is the longest time without progress beyond the flow's own pace, while the faults happened.
	stall time.Duration
	bytes int64
}
