package refusal

import (
	"net/netip"
	"time"
)

// bucket is the time that one kind of the object API holds. Records of two buckets are never merged, so that a reader
// finds every record of a time in the bucket of that time.
const bucket = time.Hour

// class is what refusals have in common when they are equal enough to be merged.
type class struct {
	service   string
	reason    Reason
	run       Run
	decidedBy string
	caller    netip.Prefix
	hour      int64
}

// width says how many bits of a caller's address tell classes apart.
type width struct {
	v4, v6 int
}

// widths are taken one after the other as memory fills, so that the number of classes falls; the last leaves only
// service, reason, run state and decider.
var widths = [...]width{{24, 64}, {16, 32}, {0, 0}}

func classOf(r *Record, w width) class {
	return class{
		service:   r.Service,
		reason:    r.Reason,
		run:       r.Run,
		decidedBy: r.DecidedBy,
		caller:    prefixOf(r.Caller.Addr(), w),
		hour:      r.Time.Unix() / int64(bucket/time.Second),
	}
}

// prefixOf returns the network of an address; the zero Prefix for an address that is missing.
func prefixOf(a netip.Addr, w width) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := w.v6
	if a.Is4() {
		bits = w.v4
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return p
}

// callersOf is the network that holds all callers of a record.
func callersOf(r *Record) netip.Prefix {
	if r.Callers.IsValid() {
		return r.Callers
	}
	a := r.Caller.Addr().Unmap().WithZone("")
	return netip.PrefixFrom(a, a.BitLen())
}

// common is the smallest network that holds both; the zero Prefix when there is none.
func common(a, b netip.Prefix) netip.Prefix {
	if !a.IsValid() || !b.IsValid() || a.Addr().BitLen() != b.Addr().BitLen() {
		return netip.Prefix{}
	}
	for bits := min(a.Bits(), b.Bits()); bits >= 0; bits-- {
		p := netip.PrefixFrom(a.Addr(), bits).Masked()
		if p.Contains(b.Addr()) {
			return p
		}
	}
	return netip.Prefix{}
}
