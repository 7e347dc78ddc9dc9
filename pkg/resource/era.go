package resource

import "time"

// EraName is the name of the only object of KindEra.
const EraName = "current"

// Era says since when the object API is in its era, written by the holder of the compile lease.
type Era struct {
	// Era is the era of the object API that is described.
	Era uint64 `json:"era"`
	// Since is when the holder learned that the object API came back from an older copy; zero when nothing was kept in it before.
	Since time.Time `json:"since"`
	// Holder and Term are the grant under which it was written.
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}
