package ticket

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"time"
)

// Bounds of the encoded form.
const (
	// MaxIssuerLength is the highest number of bytes of an issuer's name, as of a DNS name.
	MaxIssuerLength = 253
	// MaxTextLength is the highest number of characters of an encoded ticket.
	MaxTextLength = (maxBinaryLength*8 + 5) / 6

	formatVersion   = 1
	secretLength    = 8
	maxBinaryLength = 1 + 3*binary.MaxVarintLen64 + secretLength + MaxIssuerLength
)

// Ticket is the right to run one piece of work once, at one incarnation of one agent.
type Ticket struct {
	// Issuer is the name of the agent.
	Issuer string
	// Incarnation is the incarnation of the agent that issued the ticket.
	Incarnation uint64
	// Sequence counts the tickets of the incarnation from 1.
	Sequence uint64
	// Secret is random, so that no other caller can guess the ticket.
	Secret uint64
	// Expiry is the time by which the ticket must be submitted; whole milliseconds.
	Expiry time.Time
}

// String encodes the ticket for HTTP headers and URLs: base64url without padding.
func (t Ticket) String() string {
	b := make([]byte, 0, maxBinaryLength)
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, t.Incarnation)
	b = binary.AppendUvarint(b, t.Sequence)
	b = binary.AppendUvarint(b, uint64(t.Expiry.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, t.Secret)
	b = append(b, t.Issuer...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// ID identifies the ticket without its secret, for logs and records.
func (t Ticket) ID() string {
	return t.Issuer + "/" + strconv.FormatUint(t.Incarnation, 10) + "/" + strconv.FormatUint(t.Sequence, 10)
}

// Parse decodes a ticket. It returns ErrMalformed for any text that String does not produce.
func Parse(text string) (Ticket, error) {
	if len(text) > MaxTextLength {
		return Ticket{}, ErrMalformed
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) == 0 || b[0] != formatVersion {
		return Ticket{}, ErrMalformed
	}
	t, ok := decode(b[1:])
	if !ok || t.String() != text {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

func decode(b []byte) (Ticket, bool) {
	var numbers [3]uint64
	for i := range numbers {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return Ticket{}, false
		}
		numbers[i] = v
		b = b[n:]
	}
	if len(b) <= secretLength || len(b) > secretLength+MaxIssuerLength {
		return Ticket{}, false
	}
	return Ticket{
		Incarnation: numbers[0],
		Sequence:    numbers[1],
		Expiry:      time.UnixMilli(int64(numbers[2])),
		Secret:      binary.BigEndian.Uint64(b),
		Issuer:      string(b[secretLength:]),
	}, true
}
