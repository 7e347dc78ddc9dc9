package settings

// Control limits the control traffic of a process.
type Control struct {
	// BytesPerSecond is the maximum rate at which this process sends bytes to its peers, averaged over 10 s. Default
	// 12000.
	BytesPerSecond int `toml:"bytes_per_second"`
}

// Bounds of the section's keys.
const (
	minBytesPerSecond = 1000
	maxBytesPerSecond = 100_000_000
)

func DefaultControl() Control {
	return Control{BytesPerSecond: 12000}
}

func (c Control) check(m *mistakes) {
	m.within("control.bytes_per_second", c.BytesPerSecond, minBytesPerSecond, maxBytesPerSecond)
}
