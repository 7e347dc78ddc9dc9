package capacity

import "slices"

// Factors and rates from which the figures are computed.
const (
	toMB = 1e-6
	// heapFactor is the ratio of process memory to live heap with the default garbage collector settings.
	heapFactor = 2
	// agentsOfBalancer is the number of agents for each balancer.
	agentsOfBalancer = float64(fleetTargets) / fleetBalancers
	// memberChanges is the number of member changes on an ordinary day: a failed VM dies, joins and becomes active;
	// a restarted one leaves, joins and becomes active.
	memberChanges = (fleetVMFailures + fleetRestarts) * changesOfRestart
	configsPerSec = float64(fleetConfigs) / secondsOfDay
	membersPerSec = float64(memberChanges) / secondsOfDay
	// restartRate is the number of member changes per second while all agents restart.
	restartRate = fleetTargets * changesOfRestart / (restartMinutes * 60.0)
	// callRate is the maximum number of object API calls per second of a daemon (settings.DefaultObjectAPI).
	callRate = 6
	// fleetClaims is the maximum number of claims per second of all agents together (agentd.FleetClaims).
	fleetClaims = 150
	// claimBurst is the maximum number of claims that an agent may make at once (agentd.ClaimBurst).
	claimBurst = 5
	// groupRate is the maximum number of writes per second of a data centre's member group
	// (membership.DefaultGroupInterval).
	groupRate = 1
	// statusRate is revision.DefaultStatusRate.
	statusRate = 50
	// maxHeld is refusal.DefaultMaxHeld.
	maxHeld = 20000
	// refusalMin and refusalMax are the bounds of the time between two refusal objects of a process, in seconds
	// (refusal.DefaultMinInterval, refusal.DefaultMaxInterval).
	refusalMin = 2
	refusalMax = 60
	readRate   = 1000
)

// figures returns the costs at the size to design for.
func figures() []figure {
	return slices.Concat(balancerFigures(), agentFigures(), dutyFigures(), storeFigures(), operatorFigures(), burstFigures())
}

func balancerFigures() []figure {
	const role = "Balancer (490)"
	return []figure{
		{
			role: role, name: "view and rows", unit: "MB", scale: toMB,
			terms:     []term{at("view and rows in a balancer's memory", fleetServices)},
			mechanism: "`view.Build`, `placement.NextTable`", test: "`placement.TestNextTableIsTheNewTable`, `balancer.TestSameRowOnEveryBalancer`",
		},
		{
			role: role, name: "all live state, with room for the collector", unit: "MB", scale: toMB * heapFactor, budget: budgetMemory,
			terms: []term{
				at("view and rows in a balancer's memory", fleetServices),
				at("cache of learned owners", 1<<19),
				at("member table", fleetMembers),
				at("held refusal records", maxHeld).by(2, "own and adopted"),
				at("stored revision", fleetServices).by(20, "unpacked, two revisions"),
			},
			mechanism: "`balancer.Config.CachedFlows`, `refusal.Config.MaxHeld`", test: "`refusal.TestStormInOutage`, `refusal.TestPoolKeepsTheCount`",
		},
		{
			role: role, name: "a whole balancer with small tables, store stand-in included", unit: "MB", scale: toMB,
			terms:     []term{slope("whole balancers, heap of all", 1)},
			mechanism: "`balancerd.Daemon`", test: "`balancerd.TestFewBalancersAreCandidates`",
		},
		{
			role: role, name: "control bytes on an ordinary day", unit: "B/s", budget: budgetBytes,
			terms: []term{
				at("control at rest, bytes of a balancer", fleetBalancers),
				slope("heartbeats, bytes of a balancer", agentsOfBalancer),
				at("change of one service, bytes of a balancer", fleetBalancers).by(configsPerSec, "changes/s"),
				at("members changed at once, bytes of a balancer", 1).by(membersPerSec, "changes/s"),
			},
			mechanism: "`peer.Node` (digests, pushes, byte budget)", test: "`peer.TestBudgetBoundsRateAndDebt`, `membership.TestTablesAgreeAfterComparisons`",
		},
		{
			role: role, name: "processor time for control on an ordinary day", unit: "% of a core", budget: budgetCore,
			terms: []term{
				at("control at rest, processor time of a balancer", fleetBalancers),
				slope("heartbeats, processor time of a balancer and its agents", agentsOfBalancer),
				at("change of one service, processor time of a balancer", fleetBalancers).by(configsPerSec/10, "changes/s, ms in %"),
				at("members changed at once, processor time of a balancer", 1).by(membersPerSec/10, "changes/s, ms in %"),
			},
			mechanism: "`placement.NextTable`, `peer.viewPace`", test: "`peer.TestViewsWhileMembersChange`",
		},
		{
			role: role, name: "packets that open flows, its part of 21,000 a second", unit: "% of a core",
			terms:     []term{slope("packets that open flows, processor time", fleetNewFlows/float64(fleetBalancers)).by(1e-4, "us in %")},
			mechanism: "`balancer.Balancer`, `packet.Parse`", test: "`balancer.TestOneLogLineForEachNewFlow`",
		},
		{
			role: role, name: "packets of known flows, 10,000 a second", unit: "% of a core",
			terms:     []term{slope("packets of known flows, processor time", 10000).by(1e-4, "us in %")},
			mechanism: "`balancer.Balancer`, `placement.Table.AppendRow`", test: "`balancer.TestLearnedOwner`",
		},
	}
}

func agentFigures() []figure {
	const role = "Agent (3,300)"
	return []figure{
		{
			role: role, name: "open flows, 1,939 of 6.4 million, with room for the collector", unit: "MB", scale: toMB * heapFactor,
			terms: []term{
				slope("open flow in an agent, heap and stacks", flowsOfAgent),
			},
			mechanism: "`agent.Agent`, `netstack.Stack`, `arbiter.Arbiter`", test: "`arbiter.TestLatePacketsOfEndedFlow`, `agent.TestHeldDatagramsAreBounded`",
		},
		{
			role: role, name: "10 flows whose callers read nothing, on top", unit: "MB", scale: toMB * heapFactor,
			terms:     []term{slope("flow whose caller reads nothing, heap and stacks of agent and caller", 10)},
			mechanism: "`netstack.Config.Buffer`", test: "`agent.TestBackPressureReachesTheCaller`",
		},
		{
			role: role, name: "opening its part of 21,000 flows a second", unit: "% of a core",
			terms:     []term{slope("opening a flow, processor time of agent, target's accept and caller", newFlowsOfAgent).by(0.1, "ms in %")},
			mechanism: "`agent.Agent`, `arbiter.Arbiter.Packet`", test: "`arbiter.TestFlowsSurviveHistories`",
		},
		{
			role: role, name: "bytes of flows, 10 MB a second", unit: "% of a core",
			terms:     []term{slope("upload, processor time of agent, target and caller", 10).by(0.1, "ms in %")},
			mechanism: "`netstack.Stack`, `agent.stream`", test: "`agent.TestBackPressureReachesTheCaller`",
		},
		{
			role: role, name: "control bytes", unit: "B/s", budget: budgetBytes,
			terms: []term{
				at("heartbeats, bytes of an agent", agentsOfBalancer),
				at("agents' start, bytes of an agent", agentsOfBalancer).by(float64(fleetRestarts)/fleetTargets/secondsOfDay, "starts/s"),
			},
			mechanism: "`peer.Session`", test: "`peer.TestSessionOutlivesItsBalancers`, `peer.TestKilledAgentIsDroppedAndRestarts`",
		},
		{
			role: role, name: "rows of its own service, now and with joining targets", unit: "MB", scale: toMB,
			terms:     []term{slope("view and rows in a balancer's memory", 1).by(2, "tables")},
			mechanism: "`placement.NewJoinedTable`", test: "`placement.TestNextTableIsTheNewTable`",
		},
	}
}

func dutyFigures() []figure {
	const role = "Duty holder (one for compiling, one for each data centre)"
	return []figure{
		{
			role: role, name: "compiling a change", unit: "ms",
			terms: []term{
				at("compiling a revision with one changed service, processor time", fleetServices),
				at("encoding a revision, processor time", fleetServices),
			},
			mechanism: "`revision.Compile`", test: "`revision.TestCompileKeepsTheLastGoodOne`, `revision.TestHistoryWithFaults`",
		},
		{
			role: role, name: "stored revision", unit: "kB", scale: 1e-3,
			terms:     []term{at("stored revision", fleetServices)},
			mechanism: "`revision.Encode`", test: "`revision.TestLargeRevisionIsSplit`",
		},
		{
			role: role, name: "stored members of a data centre", unit: "kB", scale: 1e-3,
			terms:     []term{at("stored members of a data centre", membersDataCentre)},
			mechanism: "`membership.GroupWriter`", test: "`membership.TestLargeGroupIsSplitAndShrinks`, `membership.TestGroupOutlivesStoreFaults`",
		},
		{
			role: role, name: "writes for a change of configuration", unit: "writes",
			terms:     []term{slope("compile duty, writes", 1)},
			mechanism: "`revision.Compiler`, its status writer", test: "`revision.TestFormerHolderAcceptsNothing`, `revision.TestStatusWritesOfAFormerHolderFail`",
		},
	}
}

func storeFigures() []figure {
	const role = "Object API, all processes together"
	return []figure{
		{
			role: role, name: "reads at rest, watches that wait 30 s", unit: "reads/s", budget: budgetReads,
			terms: []term{
				slope("reads of idle balancers, watches that wait 3 s", fleetBalancers).by(watchWait.Seconds()/platformWait.Seconds(), "of the wait"),
				slope("reads by data centres", fleetDataCentres),
			},
			mechanism: "`revision.Follower`, `lease.Runner`, `balancerd.eligible`", test: "`lease.TestHoldersDoNotOverlap`",
		},
		{
			role: role, name: "reads for a change of configuration", unit: "reads",
			terms:     []term{slope("change of configuration, reads", fleetBalancers), slope("compile duty, reads", 1)},
			mechanism: "`revision.Follower`; pace of `revision.Compiler.ReadRate`", test: "`revision.TestPaceFollowsTheFleetAndThePublications`",
		},
		{
			role: role, name: "reads while changes come as fast as they are paced", unit: "reads/s", budget: budgetReads,
			terms: []term{
				constant(readRate, "`revision.DefaultReadRate`"),
				slope("reads of idle balancers, watches that wait 3 s", fleetBalancers).by(watchWait.Seconds()/platformWait.Seconds(), "of the wait"),
				slope("reads by data centres", fleetDataCentres),
			},
			mechanism: "`revision.Compiler`", test: "`revision.TestPaceFollowsTheFleetAndThePublications`",
		},
		{
			role: role, name: "writes on an ordinary day", unit: "writes/s", budget: budgetWrites,
			terms: []term{
				at("writes by data centres", fleetDataCentres),
				slope("compile duty, writes", 1).by(configsPerSec, "changes/s"),
				constant(membersPerSec, "one group write for each change of a member"),
			},
			mechanism: "`lease.Runner`, `revision.Compiler`, `membership.GroupWriter`", test: "`membership.TestGroupIsWrittenOnChangeOnly`",
		},
		{
			role: role, name: "writes while every balancer refuses for long", unit: "writes/s", budget: budgetWrites,
			terms:     []term{slope("objects of lasting refusals at intervals up to 4 s", fleetBalancers).by(paceMax.Seconds()/refusalMax, "of the longest interval")},
			mechanism: "`refusal.Log`", test: "`refusal.TestObjectsOfALongStorm`",
		},
		{
			role: role, name: "writes while every agent claims as often as it may, lasting", unit: "writes/s", budget: budgetWrites,
			terms: []term{
				constant(fleetClaims, "`agentd.FleetClaims`, for any number of agents"),
				at("writes by data centres", fleetDataCentres),
				slope("compile duty, writes", 1).by(configsPerSec, "changes/s"),
				constant(membersPerSec, "one group write for each change of a member"),
			},
			mechanism: "`agentd.FleetClaims`, `request.Server` (refuses with `claim-store-unavailable`)",
			test:      "`agentd.TestClaimRateIsAPartOfTheFleets`, `request.TestClaimRateFollowsTheFleet`, `peer.TestNumberOfAgentsReachesTheSession`, `request.TestClaimStoreFaults`",
		},
		{
			role: role, name: "claims asked for at one moment, when no agent made any before", unit: "writes", budget: budgetWrites,
			terms:     []term{constant(claimBurst*fleetTargets, "`agentd.ClaimBurst` × 3,300")},
			mechanism: "`request.Server` (refuses with `claim-store-unavailable`)", test: "`request.TestClaimsStayWithinTheWriteBudget`, `request.TestClaimRateFollowsTheFleet`, `request.TestClaimStoreFaults`",
		},
	}
}

func operatorFigures() []figure {
	const role = "Operator's tool"
	return []figure{
		{
			role: role, name: "calls for an apply of all services", unit: "calls",
			terms:     []term{slope("apply, reads", fleetServices), slope("apply, writes", fleetServices)},
			mechanism: "`ctl.Applier`", test: "`ctl.TestApplierUnderFaults`, `ctl.TestRacingOperators`",
		},
		{
			role: role, name: "calls on an ordinary day", unit: "calls/s",
			terms: []term{
				slope("apply, reads", 1).by(configsPerSec, "changes/s"), slope("apply, writes", 1).by(configsPerSec, "changes/s"),
			},
			mechanism: "`ctl.Applier`", test: "`ctl.TestApplierUnderFaults`, `ctl.TestRacingOperators`",
		},
	}
}

func burstFigures() []figure {
	const role = "Bursts"
	return []figure{
		{
			role: role, name: "a data centre dies: bytes of a balancer, in all", unit: "kB", scale: 1e-3, budget: 10 * budgetBytes / 1000,
			terms:     []term{at("members died at once, bytes of a balancer", deadInDataCentre)},
			mechanism: "`peer.Node` (deaths in short form)", test: "`peer.TestChangeReachesTheWholeFleet`, `membership.TestDetectorFaults`",
		},
		{
			role: role, name: "a data centre dies: processor time of a balancer, in all", unit: "ms",
			terms:     []term{at("members died at once, processor time of a balancer", deadInDataCentre)},
			mechanism: "`placement.NextTable`, `peer.viewPace`", test: "`placement.TestNextTableIsTheNewTable`",
		},
		{
			role: role, name: "a data centre dies: time until 16 balancers agree", unit: "s",
			terms:     []term{at("members died at once, time until all agree", deadInDataCentre)},
			mechanism: "`peer.Node`", test: "`peer.TestChangeReachesTheWholeFleet`",
		},
		{
			role: role, name: "all agents restart within 5 minutes: changes, bytes of a balancer", unit: "B/s", budget: budgetBytes,
			terms: []term{
				at("members changed one by one, bytes of a balancer", restartRate),
			},
			mechanism: "`peer.Node` (stretched pushes and exchanges)", test: "`peer.TestBudgetBoundsRateAndDebt`",
		},
		{
			role: role, name: "all agents restart within 5 minutes: announcements, bytes of a balancer", unit: "B/s", budget: budgetBytes,
			terms:     []term{at("agents' start, bytes of an agent", agentsOfBalancer).by(agentsOfBalancer/(restartMinutes*60), "starts/s")},
			mechanism: "`peer.Session`", test: "`peer.TestKilledAgentIsDroppedAndRestarts`",
		},
		{
			role: role, name: "all agents restart within 5 minutes: processor time of a balancer", unit: "% of a core", budget: budgetCore,
			terms:     []term{at("members changed one by one, processor time of a balancer", restartRate)},
			mechanism: "`peer.viewPace`, `placement.NextTable`", test: "`peer.TestViewsWhileMembersChange`",
		},
		{
			role: role, name: "all agents restart within 5 minutes: group writes", unit: "writes/s", budget: budgetWrites,
			terms:     []term{constant(groupRate*fleetDataCentres, "one a second for each data centre")},
			mechanism: "`membership.GroupWriter`", test: "`membership.TestGroupIsWrittenOnChangeOnly`",
		},
		{
			role: role, name: "first seconds of refusals at every balancer", unit: "writes/s", budget: budgetWrites,
			terms:     []term{constant(float64(fleetBalancers)/refusalMin, "490 processes, one object in 2 s each; doubles with each object")},
			mechanism: "`refusal.Log`", test: "`refusal.TestObjectsOfALongStorm`",
		},
		{
			role: role, name: "storm: heap of a log, any number of refusals", unit: "MB", scale: toMB, budget: budgetMemory,
			terms:     []term{at("storm, heap of a log without a store", 400000)},
			mechanism: "`refusal.Log` (merges)", test: "`refusal.TestStormInOutage`",
		},
		{
			role: role, name: "storm: processor time at 1,000 refusals a second", unit: "% of a core",
			terms:     []term{slope("storm, processor time", 1000).by(1e-4, "us in %")},
			mechanism: "`refusal.Log`", test: "`refusal.TestStormInOutage`",
		},
		{
			role: role, name: "store back after an hour: objects of refusals, all balancers full", unit: "objects",
			terms:     []term{at("objects of written records", maxHeld).by(fleetBalancers, "balancers")},
			mechanism: "`refusal.Log` (backoff up to 60 s, spread by half)", test: "`refusal.TestStoreFaults`",
		},
		{
			role: role, name: "store back after an hour: writes while they are written", unit: "writes/s", budget: budgetWrites,
			terms: []term{
				at("objects of written records", maxHeld).by(float64(fleetBalancers)/refusalMax, "balancers, over the longest backoff"),
				constant(groupRate*fleetDataCentres, "groups"), constant(statusRate, "statuses (`revision.DefaultStatusRate`)"),
			},
			mechanism: "`refusal.Log`, `membership.GroupWriter`, `revision.Compiler`", test: "`refusal.TestStoreFaults`, `membership.TestGroupOutlivesStoreFaults`",
		},
		{
			role: role, name: "store back after an hour: bytes of refusals into the store", unit: "MB", scale: toMB,
			terms:     []term{at("written refusal records", maxHeld).by(fleetBalancers, "balancers")},
			mechanism: "`refusal.Log`", test: "`refusal.TestBatchSize`",
		},
		{
			role: role, name: "one change everywhere: time until adopted from peers alone", unit: "s", budget: changesInForce.Seconds(),
			terms:     []term{at("change of one service, time until adopted by all from peers", fleetBalancers)},
			mechanism: "`peer.Node` (pushes, differences of revisions)", test: "`revision.TestAcceptedRevisionSpreadsDuringAnOutage`, `peer.TestMembersAndRevisionsReachAll`",
		},
		{
			role: role, name: "one change everywhere: accepted until in force, with the object API up", unit: "s", scale: 1e-3, budget: changesInForce.Seconds(),
			terms: []term{
				at("change of configuration, accepted until in force everywhere, 99th percentile", fleetBalancers),
				slope("change of configuration, reads", fleetBalancers).by(1000.0/readRate, "ms for each read at `revision.DefaultReadRate`"),
			},
			mechanism: "`revision.Follower`, `revision.Adopter`", test: "`revision.TestHistoryWithFaults`, `revision.TestAdopterTakesOnlyHigherRevisions`",
		},
		{
			role: role, name: "one change everywhere: bytes of a balancer", unit: "kB", scale: 1e-3, budget: 10 * budgetBytes / 1000,
			terms:     []term{at("change of one service, bytes of a balancer", fleetBalancers)},
			mechanism: "`membership.Acks`, `peer.Node`", test: "`peer.TestBudgetBoundsRateAndDebt`",
		},
	}
}
