package dsrd

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// readVersion is the configuration's version in an object, cached so that its document is decoded once.
type readVersion struct {
	object, configuration uint64
}

// adoptObject adopts a stored object when it is newer. At is when it was known to be the newest.
func (k *configSync) adoptObject(o objectapi.Object, at time.Time) (changed bool, err error) {
	stored, known := k.storedVersion(o)
	if !known {
		c, err := k.platform.Decode(o)
		if err != nil {
			return false, trace.Wrap(err, "reading the configuration of version %d", objectapi.RevisionOf(o.Version))
		}
		k.lastRead = readVersion{object: o.Version, configuration: c.Version}
		if k.adoptIfNewer(c, nil, at) {
			return true, nil
		}
		k.logNotNewer(c)
		stored = c.Version
	}
	if configuration.IsNumbered(stored) {
		// The object API was restored from a copy with a lower number: the configuration in force is the newest.
		version, _, _ := k.state(at)
		stored = version
	}
	k.confirm(stored, at)
	return false, nil
}

// storedVersion returns the version of a stored configuration that is not newer than the one in force, as far as that
// is known without decoding it.
func (k *configSync) storedVersion(o objectapi.Object) (version uint64, known bool) {
	if o.Version == k.lastRead.object {
		return k.lastRead.configuration, true
	}
	inForce, _, _ := k.state(time.Time{})
	return o.Version, !configuration.IsNumbered(inForce) && o.Version <= inForce
}

// logNotNewer logs that the object API holds an earlier configuration than the one in force.
func (k *configSync) logNotNewer(stored configuration.Configuration) {
	inForce, _, _ := k.state(time.Time{})
	if stored.Version == inForce {
		return
	}
	k.log.Warn().Str("op", "check-configuration").Uint64("configuration", configuration.DisplayVersion(inForce)).
		Uint64("stored", configuration.DisplayVersion(stored.Version)).Str("label", stored.Label).
		Msg("the object API holds an earlier configuration; the one in force stays")
}

// adoptIfNewer adopts a configuration when it is newer than the one in force, and reports whether it was. At is when
// its version was known to be the newest, which is recorded when that version is in force. Encoded is its form for
// other balancers, if known.
func (k *configSync) adoptIfNewer(c configuration.Configuration, encoded []byte, at time.Time) bool {
	k.adoptMu.Lock()
	defer k.adoptMu.Unlock()
	if configuration.IsNumbered(c.Version) {
		k.useOperatorNumber()
	}
	version, _, _ := k.state(at)
	newer := c.Version > version
	if newer {
		k.setInForce(c, encoded)
	}
	k.confirm(c.Version, at)
	return newer
}

// useOperatorNumber sets the operator's number as the version of the configuration in force, which lacks it when it
// was adopted before the object API first reported an era. k.adoptMu is held.
func (k *configSync) useOperatorNumber() {
	k.mu.Lock()
	c := k.inForce
	k.mu.Unlock()
	numbered := configuration.VersionOf(c.Label, c.Version, true)
	if numbered == c.Version {
		return
	}
	c.Version = numbered
	k.setInForce(c, nil)
}

// setInForce applies a configuration. k.adoptMu is held.
func (k *configSync) setInForce(c configuration.Configuration, encoded []byte) {
	k.adopt(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inForce, k.encoded, k.adopted = c, encoded, time.Now()
}
