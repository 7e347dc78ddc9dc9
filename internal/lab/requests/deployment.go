package requests

// serviceSize is one service of a deployment.
type serviceSize struct {
	name    string
	targets int
	slots   int
}

type deployment []serviceSize

// deployments are the two operators' services with their numbers of targets and slots.
var deployments = map[string]deployment{
	"zarqa":   {{"route-svc", 7, 3}, {"reports-svc", 4, 3}},
	"saobien": {{"airtime-core", 7, 4}, {"report-svc", 3, 4}},
}

// capacity returns the number of requests per second that the slots can serve.
func (d deployment) capacity(p pace) float64 {
	slots := 0
	for _, s := range d {
		slots += s.targets * s.slots
	}
	return float64(slots) / p.service.Seconds()
}
