// Package store is a small stand-in for the platform's object API, in memory and with faults, for tests and the lab.
package store
