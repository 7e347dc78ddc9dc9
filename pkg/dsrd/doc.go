// Package dsrd runs the balancer and the agent of pass-through services (direct server return): their sockets, timers
// and goroutines. The decisions are those of packages dispatch and ownership.
//
// Each daemon has one lock that guards its decisions; every goroutine that reads a socket takes it for one packet at
// a time and sends while holding it. No other lock is taken while it is held, but for those inside the logger and the
// refusal log.
package dsrd
