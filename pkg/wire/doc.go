// Package wire defines the datagrams that balancers and agents exchange on the packet path, and their address encoding.
package wire
