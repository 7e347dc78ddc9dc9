// Package errqueue reports which hosts refused datagrams of a UDP socket, from the kernel's error queue (ip(7),
// IP_RECVERR).
package errqueue
