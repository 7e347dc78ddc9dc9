package target

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

const wordSize = 8

// content is an endless stream of bytes, determined by the service and the flow's name.
type content struct {
	state uint64
	word  [wordSize]byte
	used  int
}

// Content returns the bytes that a target of the service sends for the flow: an endless reader.
func Content(service, flow string) io.Reader {
	return &content{state: xxhash.Sum64String(service + "\x00" + flow), used: wordSize}
}

// Read fills b; it never fails.
func (c *content) Read(b []byte) (int, error) {
	for i := range b {
		if c.used == wordSize {
			c.next()
		}
		b[i] = c.word[c.used]
		c.used++
	}
	return len(b), nil
}

// next generates the next word with SplitMix64.
func (c *content) next() {
	c.state += 0x9e3779b97f4a7c15
	z := c.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	binary.LittleEndian.PutUint64(c.word[:], z^z>>31)
	c.used = 0
}
