package settings

// Control bounds the traffic between the processes.
type Control struct {
	// BytesPerSecond is the highest number of bytes that this process sends to its peers in a second, averaged over
	// ten seconds. Default 12000.
	BytesPerSecond int `toml:"bytes_per_second"`
}

// Bounds of the section's keys.
const (
	minBytesPerSecond = 1000
	maxBytesPerSecond = 100_000_000
)

// DefaultControl returns the defaults of the section.
func DefaultControl() Control {
	return Control{BytesPerSecond: 12000}
}

// check finds the mistakes of the section.
func (c Control) check(m *mistakes) {
	m.within("control.bytes_per_second", c.BytesPerSecond, minBytesPerSecond, maxBytesPerSecond)
}
