// Package objectapi is the client side of the platform's object API: versions, conditional updates and watches.
package objectapi
