package dsrd

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// MemberKind is the kind of the objects by which balancers are discovered, one for each, named like the process.
const MemberKind objectapi.Kind = "dsr-balancers"

// Intervals of the calls for members.
const (
	// memberRetry is the first retry interval while the object API fails, growing up to memberRetryMax.
	memberRetry    = 200 * time.Millisecond
	memberRetryMax = 3 * time.Second
	// rejoinSpread bounds the random time until a balancer joins again in a later era, so that not all call at once.
	rejoinSpread = time.Second
	// rediscoverMin is the time after which an agent without a living balancer reads the members again, doubled each
	// time up to rediscoverMax: the balancers may have joined after the last read.
	rediscoverMin = 3 * time.Second
	rediscoverMax = 30 * time.Second
)

// member is the value of a balancer's object.
type member struct {
	// Messages is the address at which the balancer receives messages.
	Messages netip.AddrPort `json:"messages"`
}

// errNoAddress is the error of a member without a usable address.
var errNoAddress = errors.New("member has no usable address")

// decodeMember decodes a balancer's object, which another writer may have made.
func decodeMember(o objectapi.Object) (member, error) {
	m, err := objectapi.Decode[member](o)
	if err != nil {
		return member{}, err
	}
	a := m.Value.Messages
	if a.Port() == 0 || !a.Addr().IsValid() || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return member{}, errNoAddress
	}
	return m.Value, nil
}

// readMembers lists the balancers in the object API, with the store version of the list, and passes their addresses
// to found. Objects that cannot be decoded are logged and skipped.
func readMembers(ctx context.Context, store objectapi.Store, log zerolog.Logger, found func([]netip.AddrPort)) (known map[string]objectapi.Object, version uint64, err error) {
	objects, version, err := store.List(ctx, MemberKind)
	if err != nil {
		return nil, 0, err
	}
	known = make(map[string]objectapi.Object, len(objects))
	var addresses []netip.AddrPort
	for _, o := range objects {
		known[o.Name] = o
		m, err := decodeMember(o)
		if err != nil {
			log.Warn().Err(err).Str("op", "read-members").Str("name", o.Name).Msg("member object cannot be decoded")
			continue
		}
		addresses = append(addresses, m.Messages)
	}
	found(addresses)
	return known, version, nil
}

// findMembers reads the members, retrying until it succeeds.
func findMembers(ctx context.Context, store objectapi.Store, log zerolog.Logger, found func([]netip.AddrPort)) error {
	return untilDone(ctx, log, "read-members", func() error {
		_, _, err := readMembers(ctx, store, log, found)
		return err
	})
}

// joinMembers reads the members and registers this process among them, retrying until it succeeds. It returns the era
// of the object API in which it did.
func joinMembers(ctx context.Context, store objectapi.Store, log zerolog.Logger, name string, self netip.AddrPort, found func([]netip.AddrPort)) (uint64, error) {
	o, err := objectapi.Encode(objectapi.Typed[member]{Kind: MemberKind, Name: name, Value: member{Messages: self}})
	if err != nil {
		return 0, err
	}
	var era uint64
	err = untilDone(ctx, log, "join-members", func() error {
		known, version, err := readMembers(ctx, store, log, found)
		if err != nil {
			return err
		}
		era = objectapi.EraOf(version)
		own, exists := known[name]
		switch {
		case !exists:
			_, err = store.Create(ctx, MemberKind, name, o.Value)
		case string(own.Value) != string(o.Value):
			own.Value = o.Value
			_, err = store.Update(ctx, own)
		}
		// A conflict means that the write of an earlier incarnation took effect late; the next round sees it.
		return err
	})
	return era, err
}

// untilDone calls f until it succeeds or the context ends. The first failure and the end of failures are logged.
func untilDone(ctx context.Context, log zerolog.Logger, op string, f func() error) error {
	backoff := objectapi.Backoff{Min: memberRetry, Max: memberRetryMax}
	failing := false
	for {
		err := f()
		if err == nil {
			if failing {
				log.Warn().Str("op", op).Msg("calls to the object API succeed again")
			}
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !failing {
			failing = true
			log.Warn().Err(err).Str("op", op).Msg("call to the object API failed; retrying")
		}
		if err := wait.For(ctx, backoff.Next()); err != nil {
			return err
		}
	}
}
