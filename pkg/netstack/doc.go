// Package netstack ends the TCP connections and UDP flows of raw IP packets, on gVisor's TCP/IP stack.
//
// Packets come in through Stack.Inject and leave through Config.Output; the package opens no socket itself.
package netstack
