package capacity

// Units.
const (
	toMB = 1e-6
)

// figures are the costs at the size to design for.
func figures() []figure {
	return balancerFigures()
}

func balancerFigures() []figure {
	const role = "Balancer"
	return []figure{
		{
			role: role, name: "view and rows", unit: "MB", scale: toMB,
			terms:     []term{at("view and rows in a balancer's memory", fleetServices)},
			mechanism: "`view.Build`, `placement.Table`", test: "`balancer.TestViewsNeverRevert`",
		},
	}
}
