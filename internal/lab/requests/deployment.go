package requests

// serviceSize is one service of a deployment.
type serviceSize struct {
	name    string
	targets int
	slots   int
}

// deployment is the list of services.
type deployment []serviceSize

// deployments hold the sizes that the two operators run.
var deployments = map[string]deployment{
	"zarqa":   {{"route-svc", 7, 3}, {"reports-svc", 4, 3}},
	"saobien": {{"airtime-core", 7, 4}, {"report-svc", 3, 4}},
}

// capacity is the number of requests a second that the slots can answer.
func (d deployment) capacity(p pace) float64 {
	slots := 0
	for _, s := range d {
		slots += s.targets * s.slots
	}
	return float64(slots) / p.service.Seconds()
}
