package resource

import "time"

// EraName is the name of the only object of KindEra.
const EraName = "current"

// Era records when the object API's current era began. It is written by the holder of the compile lease.
type Era struct {
	// Era is the number of the era.
	Era uint64 `json:"era"`
	// Since is when the holder detected that the object API was restored from an older copy; zero when no
	// revision had been accepted.
	Since time.Time `json:"since"`
	// Holder and Term identify the lease grant under which the object was written.
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}
