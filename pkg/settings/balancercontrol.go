package settings

import "time"

// BalancerControl limits a balancer's control traffic and sets the pace of its exchanges with peers.
type BalancerControl struct {
	Control
	// ExchangeInterval is the time between two exchanges with a peer. Default 500ms.
	ExchangeInterval Duration `toml:"exchange_interval"`
}

// Bounds of the section's keys.
const (
	minExchangeInterval = 50 * time.Millisecond
	maxExchangeInterval = time.Minute
)

func DefaultBalancerControl() BalancerControl {
	return BalancerControl{Control: DefaultControl(), ExchangeInterval: NewDuration(500 * time.Millisecond)}
}

func (c BalancerControl) check(m *mistakes) {
	c.Control.check(m)
	m.duration("control.exchange_interval", c.ExchangeInterval, minExchangeInterval, maxExchangeInterval)
}
