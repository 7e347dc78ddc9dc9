package flows

import (
	"net/netip"
	"time"
)

// kind is the kind of traffic of a flow.
type kind uint8

const (
	kindDownload kind = iota + 1
	kindUpload
	kindPacedDownload
	kindEcho
	kindDatagrams
)

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

func (k kind) isLong() bool { return k >= kindPacedDownload }

// plan describes a flow to be run.
type plan struct {
	name    string
	kind    kind
	service string
	local   netip.AddrPort
	remote  netip.AddrPort
	// start is the offset from the start of the run.
	start time.Duration
	// size is the size of a short flow in bytes.
	size int64
	// hold is the duration of a long flow; every is the interval between its chunks.
	hold, every time.Duration
}

// verdict is how a flow ended.
type verdict uint8

const (
	verdictIntact verdict = iota + 1
	// verdictBroken means that the flow ended early.
	verdictBroken
	// verdictCrossed means that another service answered.
	verdictCrossed
	// verdictMixed means that wrong bytes arrived.
	verdictMixed
)

// outcome is the result of a flow that has ended.
type outcome struct {
	plan    *plan
	verdict verdict
	err     error
	// target is the ID of the target that answered; empty if none did.
	target string
	started,
	ended time.Time
	// opened is the time from the start to the response headers or the first echo.
	opened time.Duration
	// stall is the longest time without progress in excess of the flow's own pace, measured while faults are injected.
	stall time.Duration
	bytes int64
}
