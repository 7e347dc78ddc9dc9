package capacity

import "time"

// The size to design for.
const (
	fleetBalancers    = 490
	fleetTargets      = 3300
	fleetMembers      = fleetBalancers + fleetTargets
	fleetServices     = 680
	fleetRegions      = 2
	fleetDataCentres  = 7
	fleetOpenFlows    = 6.4e6
	fleetNewFlows     = 21000
	fleetConfigs      = 920
	fleetVMFailures   = 19
	fleetRestarts     = 960
	secondsOfDay      = 24 * 60 * 60
	watchersOfMember  = 3
	restartMinutes    = 5
	changesOfRestart  = 3
	deadInDataCentre  = fleetMembers / fleetDataCentres
	flowsOfAgent      = fleetOpenFlows / fleetTargets
	newFlowsOfAgent   = float64(fleetNewFlows) / fleetTargets
	packetsOfNewFlow  = 10
	changesInForce    = 4 * time.Second
	membersDataCentre = fleetMembers / fleetDataCentres
)

// Budgets for control: processor time (% of a core), memory (MB) and bytes per second of one daemon, and object API
// writes and reads per second of all processes.
const (
	budgetCore   = 2.0
	budgetMemory = 256.0
	budgetBytes  = 12000.0
	budgetWrites = 300.0
	budgetReads  = 2000.0
)
