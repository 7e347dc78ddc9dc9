package membership

import "time"

// DefaultTombstoneLifetime is how long dead and left members are remembered.
const DefaultTombstoneLifetime = time.Hour

// TableConfig holds the settings of a Table.
type TableConfig struct {
	// TombstoneLifetime is how long dead and left members are remembered; 0 means DefaultTombstoneLifetime.
	TombstoneLifetime time.Duration
}
