// Package netstack terminates the TCP connections and UDP flows of raw IP packets with gVisor's TCP/IP stack.
//
// Packets enter through Stack.Inject and leave through Config.Output; the package opens no socket.
package netstack
