package refusal

import (
	"net/netip"
	"time"
)

// bucket is the time span whose records one object kind holds. Records of different buckets are never merged, so a
// reader finds every record in the bucket of its time.
const bucket = time.Hour

// class holds the fields that refusals must have in common to be merged.
type class struct {
	service   string
	reason    Reason
	run       Run
	decidedBy string
	caller    netip.Prefix
	hour      int64
}

// width is the length of the caller prefix that distinguishes classes, in bits.
type width struct {
	v4, v6 int
}

// widths are used one after another as memory fills, to reduce the number of classes. The last one leaves only service,
// reason, run state, decider, hour and the caller's address family.
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

// prefixOf returns the network of an address; the zero Prefix if the address is missing.
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

// callerPrefix returns the network that contains all callers of a record.
func callerPrefix(r *Record) netip.Prefix {
	if r.Callers.IsValid() {
		return r.Callers
	}
	a := r.Caller.Addr().Unmap().WithZone("")
	return netip.PrefixFrom(a, a.BitLen())
}

// commonPrefix returns the smallest network that contains both; the zero Prefix if there is none.
func commonPrefix(a, b netip.Prefix) netip.Prefix {
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
