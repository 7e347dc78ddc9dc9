package capacity

// Point is one measured value.
type Point struct {
	// Size is the size at which the value was measured.
	Size float64 `json:"size"`
	// Value is the measured value, in the unit of the series.
	Value float64 `json:"value"`
}
