package dsrpb

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// maxConfiguration bounds a configuration received from another balancer, in bytes after decompression: one of 10,000
// routes takes less than 1 MB.
const maxConfiguration = 16 << 20

// ErrTooLarge is the error of a configuration above maxConfiguration, ErrDestination that of a route without a valid
// address.
var (
	ErrTooLarge    = errors.New("configuration is too large")
	ErrDestination = errors.New("route has no address")
)

// EncodeConfiguration encodes a configuration for other balancers, compressed: all of them fetch it at the same time,
// and on the links and processors of the smallest the operator's document would delay packets.
func EncodeConfiguration(c configuration.Configuration) ([]byte, error) {
	raw, err := messageOf(c).MarshalVT()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeConfiguration decodes the output of EncodeConfiguration.
func DecodeConfiguration(b []byte) (configuration.Configuration, error) {
	r := flate.NewReader(bytes.NewReader(b))
	raw, err := io.ReadAll(io.LimitReader(r, maxConfiguration+1))
	if err != nil {
		return configuration.Configuration{}, fmt.Errorf("decompressing: %w", err)
	}
	if len(raw) > maxConfiguration {
		return configuration.Configuration{}, ErrTooLarge
	}
	var m Configuration
	if err := m.UnmarshalVT(raw); err != nil {
		return configuration.Configuration{}, err
	}
	return m.configuration()
}

func messageOf(c configuration.Configuration) *Configuration {
	m := &Configuration{Version: c.Version, Label: c.Label, IdleTimeoutUs: microseconds(c.IdleTimeout)}
	for _, r := range c.Routes {
		route := &Route{
			Name:        r.Name,
			Destination: wire.AppendAddr(nil, r.Destination),
			Priority:    int64(r.Priority),
			AimUs:       microseconds(r.Aim),
			TimeoutUs:   microseconds(r.Timeout),
			Regions:     r.Regions,
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, &Share{Service: s.Service, Weight: s.Weight})
		}
		m.Routes = append(m.Routes, route)
	}
	for _, s := range c.Services {
		m.Services = append(m.Services, &Service{
			Name:           s.Name,
			HealthPath:     s.HealthPath,
			WarmUpUs:       microseconds(s.WarmUp),
			ColdPerSecond:  s.ColdPerSecond,
			Regions:        s.Regions,
			MaxConnections: uint32(max(0, s.MaxConnections)),
		})
	}
	return m
}

func (m *Configuration) configuration() (configuration.Configuration, error) {
	c := configuration.Configuration{Version: m.Version, Label: m.Label, IdleTimeout: duration(m.IdleTimeoutUs)}
	c.Routes = make([]configuration.Route, 0, len(m.Routes))
	for _, r := range m.Routes {
		destination, ok := wire.RowAddr(r.Destination, 0)
		if !ok || destination.Addr().IsUnspecified() {
			return configuration.Configuration{}, fmt.Errorf("route %q: %w", r.Name, ErrDestination)
		}
		route := configuration.Route{
			Name:        r.Name,
			Destination: destination,
			Priority:    int(r.Priority),
			Aim:         duration(r.AimUs),
			Timeout:     duration(r.TimeoutUs),
			Regions:     r.Regions,
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, configuration.Share{Service: s.Service, Weight: s.Weight})
		}
		c.Routes = append(c.Routes, route)
	}
	for _, s := range m.Services {
		c.Services = append(c.Services, configuration.Service{
			Name:           s.Name,
			HealthPath:     s.HealthPath,
			WarmUp:         duration(s.WarmUpUs),
			ColdPerSecond:  s.ColdPerSecond,
			Regions:        s.Regions,
			MaxConnections: int(s.MaxConnections),
		})
	}
	return c, nil
}

func microseconds(d time.Duration) uint64 { return uint64(max(0, d) / time.Microsecond) }

func duration(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }
