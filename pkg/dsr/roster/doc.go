// Package roster tracks the other processes that a daemon of a pass-through service knows, and when each was last seen.
// Every entry is soft state: after a restart it is rebuilt from the messages of those processes.
package roster
