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

// memberRetry is the first retry interval while the object API fails, growing up to memberRetryMax.
const (
	memberRetry    = 200 * time.Millisecond
	memberRetryMax = 3 * time.Second
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

// addressesOf returns the addresses of balancers in the object API. Objects that cannot be decoded are logged and
// skipped.
func addressesOf(objects []objectapi.Object, log zerolog.Logger) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, o := range objects {
		m, err := decodeMember(o)
		if err != nil {
			log.Warn().Err(err).Str("op", "read-members").Str("name", o.Name).Msg("member object cannot be decoded")
			continue
		}
		addresses = append(addresses, m.Messages)
	}
	return addresses
}

// registerMember creates the object of a balancer, or corrects the one of an earlier incarnation, retrying until that
// succeeds. It returns the era of the object API in which it did.
func registerMember(ctx context.Context, store objectapi.Store, log zerolog.Logger, name string, self netip.AddrPort) (uint64, error) {
	own, err := objectapi.Encode(objectapi.Typed[member]{Kind: MemberKind, Name: name, Value: member{Messages: self}})
	if err != nil {
		return 0, err
	}
	var stored objectapi.Object
	err = untilDone(ctx, log, "join-members", func() error {
		var err error
		stored, err = store.Create(ctx, MemberKind, name, own.Value)
		if errors.Is(err, objectapi.ErrConflict) {
			stored, err = correctMember(ctx, store, name, own.Value, err)
		}
		// After an unknown outcome the next try finds what was created.
		return err
	})
	return objectapi.EraOf(stored.Version), err
}

// storedMember looks for the object of a balancer at a tenth of the price of a call, and returns its version, 0 when there
// is none with this address. It may have been stored since.
func storedMember(ctx context.Context, store objectapi.Store, name string, self netip.AddrPort) (uint64, error) {
	objects, err := objectapi.Sample(ctx, store, MemberKind, placeBefore(name))
	if err != nil {
		return 0, err
	}
	return versionOf(objects, name, self), nil
}

// placeBefore returns a place shortly before a name in the order of names.
func placeBefore(name string) string {
	if name == "" {
		return ""
	}
	return name[:len(name)-1]
}

// versionOf returns the version of a balancer's object with its address among others, 0 when it is not there.
func versionOf(objects []objectapi.Object, name string, self netip.AddrPort) uint64 {
	for _, o := range objects {
		if m, err := decodeMember(o); err == nil && o.Name == name && m.Messages == self {
			return o.Version
		}
	}
	return 0
}

// correctMember updates the object of a balancer that exists with another value. Conflict is the error of its creation.
func correctMember(ctx context.Context, store objectapi.Store, name string, value []byte, conflict error) (objectapi.Object, error) {
	current, known := objectapi.CurrentObject(conflict)
	if !known {
		var err error
		if current, err = store.Get(ctx, MemberKind, name); err != nil {
			return objectapi.Object{}, err
		}
	}
	if string(current.Value) == string(value) {
		return current, nil
	}
	current.Value = value
	return store.Update(ctx, current)
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
