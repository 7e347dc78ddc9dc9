package membership

import "time"

// DefaultTombstoneLifetime is the default of TableConfig.TombstoneLifetime.
const DefaultTombstoneLifetime = time.Hour

// TableConfig holds the settings of a Table.
type TableConfig struct {
	// TombstoneLifetime is how long the records of dead and left members are kept; 0 means DefaultTombstoneLifetime.
	TombstoneLifetime time.Duration
}
