// Package view holds immutable snapshots of configuration and membership that the packet path decides on.
package view
