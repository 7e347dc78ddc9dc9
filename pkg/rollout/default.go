package rollout

// Default returns the gate that made the fewest wrong decisions in the comparison.
func Default() Gate { return ConfidentBurn{} }
