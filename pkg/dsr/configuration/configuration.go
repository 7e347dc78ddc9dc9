// Package configuration holds the routes that operators declare for pass-through services.
package configuration

import (
	"net/netip"
	"time"
)

// Share is a service with its share of a route's new flows.
type Share struct {
	Service string
	Weight  uint32
}

// Route sends new flows to one address to one service or, by weight, to several.
type Route struct {
	Name        string
	Destination netip.AddrPort
	Shares      []Share
	// Priority is the rank among routes when capacity is short; 0 is the highest.
	Priority int
	// Aim is the response time that callers are promised; 0 when none is declared.
	Aim time.Duration
	// Timeout is the time after which callers give up on a request; 0 when none is declared.
	Timeout time.Duration
	// Regions are those that its flows may reach; empty means all.
	Regions []string
}

// Service is what operators declare for a service.
type Service struct {
	Name string
	// HealthPath is the path of its targets' health check; empty when there is none.
	HealthPath string
	// WarmUp is how long a target is cold after its start, ColdPerSecond the number of new flows that it takes in any
	// second until then; 0 for no limit.
	WarmUp        time.Duration
	ColdPerSecond float64
	// MaxConnections is the number of flows that a target may hold; 0 for no limit.
	MaxConnections int
	// Regions are those that flows of the service may reach; empty means all.
	Regions []string
}

// Configuration is the complete configuration of a deployment's routes.
type Configuration struct {
	// Version rises with each change. It is the operator's number where the object API reports eras, see VersionOf,
	// and the version of the stored object elsewhere.
	Version uint64
	// Label is the operator's own number of the configuration, for logs.
	Label string
	// Routes are unordered; addresses are unique.
	Routes []Route
	// Services are unordered; names are unique.
	Services []Service
	// IdleTimeout is how long a flow without packets is kept.
	IdleTimeout time.Duration
}
