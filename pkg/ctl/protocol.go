package ctl

// Protocol names what an object API speaks.
type Protocol string

// Protocols.
const (
	// ProtocolObjectAPI is auburnwood's own, as objectapi.Client speaks it.
	ProtocolObjectAPI Protocol = "object-api"
	// ProtocolPlatform is that of the platform's object store, as package platform speaks it.
	ProtocolPlatform Protocol = "platform"
)
