package refusal

import (
	"strconv"
	"strings"
)

// idBase is the number base of the counters in a record ID.
const idBase = 36

// maxOrdinal keeps the sum of an ordinal and a count within 64 bits, whatever ID a peer sends.
const maxOrdinal = 1 << 62

// stream identifies a sequence of equal refusals of one incarnation of a process. Its refusals are numbered from 1
// without gaps, and a record covers a closed interval of them, so equal records can be merged, and copies recognised,
// without a list of the merged IDs.
type stream struct {
	// origin is the process and its incarnation.
	origin string
	// number is the number of the stream within its origin.
	number uint64
}

// identity is a parsed record ID: "origin/number.ordinal".
type identity struct {
	stream  stream
	ordinal uint64
}

// originOf returns the part of record IDs that names the process and its incarnation.
func originOf(process string, incarnation uint64) string {
	return process + "/" + strconv.FormatUint(incarnation, idBase)
}

// format returns the identity as a record ID.
func (i identity) format() string {
	b := make([]byte, 0, 64)
	b = append(b, i.stream.origin...)
	b = append(b, '/')
	b = strconv.AppendUint(b, i.stream.number, idBase)
	b = append(b, '.')
	b = strconv.AppendUint(b, i.ordinal, idBase)
	return string(b)
}

// parseID parses a record ID. An ID in another format is treated as a stream of its own.
func parseID(id string) identity {
	i, ok := splitID(id)
	if !ok || i.ordinal == 0 {
		return identity{stream: stream{origin: id}, ordinal: 1}
	}
	return i
}

// splitID parses a record ID; false means that it has another format.
func splitID(id string) (identity, bool) {
	slash, dot := strings.LastIndexByte(id, '/'), strings.LastIndexByte(id, '.')
	if slash <= 0 || dot < slash {
		return identity{}, false
	}
	number, err := strconv.ParseUint(id[slash+1:dot], idBase, 64)
	if err != nil {
		return identity{}, false
	}
	ordinal, err := strconv.ParseUint(id[dot+1:], idBase, 64)
	if err != nil || ordinal > maxOrdinal {
		return identity{}, false
	}
	return identity{stream: stream{origin: id[:slash], number: number}, ordinal: ordinal}, true
}
