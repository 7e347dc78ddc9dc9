// Package view defines immutable snapshots of configuration and membership, on which the packet path bases its
// decisions.
package view
