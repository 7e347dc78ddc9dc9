// Package routing selects the service of a new pass-through flow by the address that the caller used.
package routing
