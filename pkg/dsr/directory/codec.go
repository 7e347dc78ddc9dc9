package directory

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// format is the first byte of an encoded list or stamp.
const format = 2

// headerSize is the size of the format and a time.
const headerSize = 1 + 8

var (
	// errFormat is returned for a list or stamp of another release.
	errFormat = errors.New("unknown format")
	// errTruncated is returned for a list or stamp that ends early.
	errTruncated = errors.New("truncated")
	// errTrailing is returned for a list that goes on after its end.
	errTrailing = errors.New("trailing bytes")
	// errAddress is returned for an agent without a usable address.
	errAddress = errors.New("address is not usable")
)

// List is the list of all agents as stored.
type List struct {
	// At is when the list was complete, by the wall clock of its writer.
	At time.Time
	// Agents are the agents of each service.
	Agents map[string][]netip.AddrPort
	// Routes are the addresses that lead to each service, or led within MaxFlowAge.
	Routes map[string][]netip.AddrPort
	// Configuration is the version of the configuration up to which the routes are complete, 0 when they may not be.
	Configuration uint64
	// Digest identifies the agents, the routes and the configuration.
	Digest uint64
}

// Stamp confirms a stored list, at a fraction of its bytes.
type Stamp struct {
	// At is when the list was complete, by the wall clock of the stamp's writer.
	At time.Time
	// Digest is that of the list.
	Digest uint64
}

// NewList returns a list with its digest.
func NewList(at time.Time, agents, routes map[string][]netip.AddrPort, configuration uint64) List {
	l := List{At: at, Agents: agents, Routes: routes, Configuration: configuration}
	l.Digest = digest(l.appendContent(nil))
	return l
}

// Encode encodes the list: 18 bytes for each agent and each route, and the names of the services.
func (l List) Encode() []byte { return l.appendContent(appendHeader(nil, l.At)) }

func (l List) appendContent(b []byte) []byte {
	b = binary.AppendUvarint(b, l.Configuration)
	return appendServices(appendServices(b, l.Routes), l.Agents)
}

// Encode encodes the stamp.
func (s Stamp) Encode() []byte {
	return binary.BigEndian.AppendUint64(appendHeader(nil, s.At), s.Digest)
}

// DecodeList decodes a list, which another release may have written.
func DecodeList(b []byte) (List, error) {
	at, rest, err := readHeader(b)
	if err != nil {
		return List{}, err
	}
	l := List{At: at, Digest: digest(rest)}
	if l.Configuration, rest, err = readNumber(rest); err != nil {
		return List{}, err
	}
	if l.Routes, rest, err = readServices(rest); err != nil {
		return List{}, err
	}
	if l.Agents, rest, err = readServices(rest); err != nil {
		return List{}, err
	}
	if len(rest) > 0 {
		return List{}, errTrailing
	}
	return l, nil
}

// DecodeStamp decodes a stamp, which another release may have written.
func DecodeStamp(b []byte) (Stamp, error) {
	at, rest, err := readHeader(b)
	if err != nil {
		return Stamp{}, err
	}
	if len(rest) != 8 {
		return Stamp{}, errTruncated
	}
	return Stamp{At: at, Digest: binary.BigEndian.Uint64(rest)}, nil
}

func appendHeader(b []byte, at time.Time) []byte {
	return binary.BigEndian.AppendUint64(append(b, format), uint64(at.UnixMilli()))
}

func readHeader(b []byte) (at time.Time, rest []byte, err error) {
	if len(b) < headerSize {
		return time.Time{}, nil, errTruncated
	}
	if b[0] != format {
		return time.Time{}, nil, errFormat
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[1:headerSize]))), b[headerSize:], nil
}

// appendServices appends the number of services and each with its addresses, in the order of their names, so that equal
// lists have equal encodings.
func appendServices(b []byte, services map[string][]netip.AddrPort) []byte {
	b = binary.AppendUvarint(b, uint64(len(services)))
	for _, service := range slices.Sorted(maps.Keys(services)) {
		b = binary.AppendUvarint(b, uint64(len(service)))
		b = append(b, service...)
		b = appendAddresses(b, services[service])
	}
	return b
}

// appendAddresses appends addresses after their number.
func appendAddresses(b []byte, list []netip.AddrPort) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, a := range list {
		b = wire.AppendAddr(b, a)
	}
	return b
}

// readNumber reads a number, and returns the rest.
func readNumber(b []byte) (n uint64, rest []byte, err error) {
	n, read := binary.Uvarint(b)
	if read <= 0 {
		return 0, nil, errTruncated
	}
	return n, b[read:], nil
}

// readServices reads what appendServices appends, and returns the rest.
func readServices(b []byte) (services map[string][]netip.AddrPort, rest []byte, err error) {
	n, read := binary.Uvarint(b)
	if read <= 0 || n > uint64(len(b)) {
		return nil, nil, errTruncated
	}
	b = b[read:]
	services = make(map[string][]netip.AddrPort)
	for range n {
		name, rest, err := readCounted(b, 1)
		if err != nil {
			return nil, nil, err
		}
		row, rest, err := readCounted(rest, wire.AddrSize)
		if err != nil {
			return nil, nil, err
		}
		addresses, err := readAddresses(row)
		if err != nil {
			return nil, nil, err
		}
		services[string(name)] = append(services[string(name)], addresses...)
		b = rest
	}
	return services, b, nil
}

// readCounted reads a number of elements of a size, which their number precedes.
func readCounted(b []byte, size int) (elements, rest []byte, err error) {
	n, read := binary.Uvarint(b)
	if read <= 0 {
		return nil, nil, errTruncated
	}
	b = b[read:]
	if n > uint64(len(b)/size) {
		return nil, nil, errTruncated
	}
	end := int(n) * size
	return b[:end], b[end:], nil
}

func readAddresses(row []byte) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, wire.RowLen(row))
	for i := range wire.RowLen(row) {
		a, _ := wire.RowAddr(row, i)
		if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
			return nil, errAddress
		}
		out = append(out, a)
	}
	return out, nil
}

func digest(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}
