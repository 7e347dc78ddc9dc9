package overload

// split is the demand of one priority: open is on open flows, and cannot be refused, offered is that of new flows.
type split struct {
	open, offered float64
}

// sharesOf returns the share of new flows of each priority that is taken, so that the requests of all priorities together
// fit into a rate. Lower priorities are refused before higher ones, and requests of a lower priority on open flows leave no
// less room to higher ones.
func sharesOf(rate float64, demand [maxPriorities]split) [maxPriorities]float64 {
	var shares [maxPriorities]float64
	room := rate
	for p, d := range demand {
		room -= d.open
		shares[p] = shareOf(room, d.offered)
		room -= shares[p] * d.offered
	}
	return shares
}

func shareOf(room, offered float64) float64 {
	if offered <= 0 || room >= offered {
		return 1
	}
	return max(0, room/offered)
}
