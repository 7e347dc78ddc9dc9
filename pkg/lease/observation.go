package lease

type ObservationKind uint8

// Kinds of observation.
const (
	// ObservedNothing means that only time has passed.
	ObservedNothing ObservationKind = iota
	// ObservedObject means that a read returned Observation.Record at Observation.Version.
	ObservedObject
	// ObservedAbsent means that a read found no lease object.
	ObservedAbsent
	// ObservedWritten means that the last write took effect at Observation.Version.
	ObservedWritten
	// ObservedConflict means that the condition of the last write did not hold.
	ObservedConflict
	// ObservedUnavailable means that the last call failed without effect.
	ObservedUnavailable
	// ObservedUnknown means that the last write may have taken effect, now or later.
	ObservedUnknown
)

// Observation is the outcome of the last action.
type Observation struct {
	Kind    ObservationKind
	Version uint64
	Record  Record
}
