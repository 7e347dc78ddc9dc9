package ctl

// Protocol is the protocol of an object API server.
type Protocol string

// Protocols.
const (
	// ProtocolObjectAPI is auburnwood's own protocol, implemented by objectapi.Client.
	ProtocolObjectAPI Protocol = "object-api"
	// ProtocolPlatform is the protocol of the platform's object store, implemented by package platform.
	ProtocolPlatform Protocol = "platform"
)
