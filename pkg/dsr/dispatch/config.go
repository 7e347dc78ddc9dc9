package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Timeouts and limits.
const (
	// HedgeAfter, LocateTimeout and ProbeTimeout are how long an agent may take to answer an offer, to say whether its
	// target holds a flow, and whether its target returned a packet, until answer times have been observed. From then
	// on an offer has OfferWait (what an agent waits for its target) beyond the estimated answer timeout, a probe
	// ProbeWait; the initial values remain the minimum for the other two. maxTimeout bounds all three, since callers
	// retransmit opening packets after 200 ms.
	HedgeAfter    = 25 * time.Millisecond
	LocateTimeout = 20 * time.Millisecond
	ProbeTimeout  = 35 * time.Millisecond
	OfferWait     = 12 * time.Millisecond
	ProbeWait     = 20 * time.Millisecond
	maxTimeout    = 150 * time.Millisecond
	// SearchMessagesPerSecond and SearchBurst limit the messages of searches by one balancer, since a search asks every
	// agent of a service and anybody can send packets of flows that do not exist. The rate is what the smallest VMs can
	// bear, the burst covers the open flows that a balancer takes over from one that left.
	SearchMessagesPerSecond = 1000
	SearchBurst             = 2000
	// SettleTime is the time until a balancer that has started knows every agent, and until every balancer knows an
	// agent that has joined: two announcement intervals and a margin for a lost one. Until then no target is probed.
	SettleTime = 600 * time.Millisecond
	// SearchInitialAgents is the number of agents that a search asks first: those to which the flow is offered first
	// when all targets are free. Each further step asks SearchGrowth times as many others. Asking all agents of a large
	// service at once would spend the search budget on a few flows.
	SearchInitialAgents = 8
	SearchGrowth        = 4
	// LocateRounds is the maximum number of times that the last step of a search asks the agents that have not
	// answered, as messages may be lost.
	LocateRounds = 3
	// LocateRetryInterval is the minimum time from the end of an unsuccessful search to the next one for the same flow.
	LocateRetryInterval = 150 * time.Millisecond
	// MaxProbes is the number of targets that may be sent a packet of a flow that they may not hold, within
	// ProbeWindow. A target returns such a packet, but each costs it work.
	MaxProbes   = 2
	ProbeWindow = 2500 * time.Millisecond
	// CollectTime is how long questions to one agent are collected before they are sent in one message; the first one
	// after a pause is sent at once. A caller's next packet must reach its owner within 100 ms.
	CollectTime = 10 * time.Millisecond
	// MaxQuestions is the number of flows in one message: answers of 51 bytes for each flow fit a datagram of 1,200.
	MaxQuestions = 18
	// MaxCollected is the number of flows that wait for the next messages to one agent while the budget is used up.
	MaxCollected = 4 * MaxQuestions
	// ProbeGroup is the number of agents that are probed first when all agents that may hold a flow are known,
	// ProbeGrowth the factor by which the next groups are larger. MaxGroupProbes bounds the agents of all groups: three
	// groups take a caller's packet to its owner within 100 ms. With more candidates MaxProbes applies.
	ProbeGroup     = 4
	ProbeGrowth    = 4
	MaxGroupProbes = ProbeGroup * (1 + ProbeGrowth + ProbeGrowth*ProbeGrowth)
	// GroupProbesPerSecond and GroupProbeBurst limit the probes in groups by one balancer. A target returns each of them.
	GroupProbesPerSecond = 1000
	GroupProbeBurst      = 4000
	// RecheckInterval is the time between two questions to agents that have not excluded a flow, while they start or
	// messages were lost. MaxRecheckTime bounds the time for which they are asked: then the caller gives up.
	RecheckInterval = 50 * time.Millisecond
	// SlowRecheckInterval is the time between two such questions after the first: as long as until the caller's next
	// retransmission.
	SlowRecheckInterval = 200 * time.Millisecond
	MaxRecheckTime      = 1200 * time.Millisecond
	// StartedTogetherWindow is how far apart agents may start that were stopped by the same failure.
	StartedTogetherWindow = 2 * time.Second
	// MaxFreeTries is the number of agents that are asked for a free slot for one new flow, MaxQueueTries for a place
	// in the queue: when the queues that seem to be the shortest two are too long, so are the others.
	MaxFreeTries  = 5
	MaxQueueTries = 2
	// MaxLimitTries is the number of agents that may decline one new flow because of the connection limit of its
	// service. Targets whose agents have lately reported as many flows as the limit are not asked.
	MaxLimitTries = 5
	// ConnectionReportMaxAge is the maximum age of a report of a target's flows that keeps it from being asked: two
	// announcement intervals of a small fleet. In a large one agents announce less often and decide themselves.
	ConnectionReportMaxAge = 500 * time.Millisecond
	// QueueSampleSize is the number of agents that are compared for a place in a queue. Reported queue lengths are old:
	// if all balancers compared all targets, they would send their flows to the same shortest queue until the next
	// report.
	QueueSampleSize = 3
	// HedgeRatio is the number of hedged offers allowed per offer, HedgeBurst the number allowed at once. A dead agent
	// is asked a few times until it is suspect, and a bad link loses some messages. More unanswered offers mean that
	// balancers or links are overloaded, and further offers would add to the overload.
	HedgeRatio = 0.1
	HedgeBurst = 50
	// RetryRatio is the number of further tries that one first try allows while a service is overloaded, RetryBurst the
	// number allowed at once: a caller's further tries would otherwise displace the first tries of others.
	RetryRatio = 0.1
	RetryBurst = 10
	// MaxHeld is the number of packets of one flow that are held until its owner is known: what one end may have in
	// flight.
	MaxHeld = 16
	// FirstRetransmission is the time after which a caller may have retransmitted its opening packet, perhaps through
	// another balancer: callers do so after 200 ms. A flow that is older is not reset, since it may be open.
	FirstRetransmission = 180 * time.Millisecond
	// StallThreshold is the time between two calls of MarkRunning from which the process counts as stalled: more than
	// two intervals, and less than FirstRetransmission. StallBacklogTime is how long after a stall packets may come
	// from the backlog of the socket.
	StallThreshold   = 120 * time.Millisecond
	StallBacklogTime = 300 * time.Millisecond
	// OpeningTimeout is the maximum time that callers wait for an answer to their opening packet.
	OpeningTimeout = 1400 * time.Millisecond
	// MaxAnnounceInterval bounds the announcement interval that an agent may report.
	MaxAnnounceInterval = 5 * time.Minute
	// RecentlySeen is the maximum age of the last message of an agent that counts as alive for a flow queued there.
	RecentlySeen = 500 * time.Millisecond
	// ParkTimeout is how long a new flow waits for a balancer or agents that have just started. Its caller sends the
	// last retransmission of the opening packet after 0.6 s and gives up after 1.4 s.
	ParkTimeout = 1200 * time.Millisecond
	// StartupGrace is how long after the start of a balancer or an agent a target may not have announced itself yet.
	StartupGrace = 1500 * time.Millisecond
	// StaleConfigurationTimeout is how long a new flow waits for a newer configuration that an agent knows of.
	StaleConfigurationTimeout = 400 * time.Millisecond
	// AgentSilenceTimeout is the minimum time that an agent may be silent before it is no longer used: silentIntervals
	// of 250 ms.
	AgentSilenceTimeout = time.Second
	silentIntervals     = 4
	// IsolatedAfter is how long no agent at all may be seen before the balancer counts as isolated: two announcement
	// intervals of every agent.
	IsolatedAfter = 500 * time.Millisecond
	// AgentExpiry is how long an agent is kept after its silence timeout.
	AgentExpiry = 10 * time.Second
	// RefusedLinger is how long retransmissions of a refused opening packet are answered with the same refusal.
	RefusedLinger = time.Second
	// ClosedLinger is how long the owner of a flow is kept after its caller has closed it.
	ClosedLinger = 5 * time.Second
	// DefaultWorkTime is the assumed time per request until an agent reports that of its target.
	DefaultWorkTime = 30 * time.Millisecond
	// SlowFactor is the multiple of the service's typical work time above which a free slot does not count as free:
	// another target answers earlier even if the request has to wait there for one or two others.
	SlowFactor = 3
	// MaxFlows is the default number of tracked flows: it takes a third of the memory of the smallest VM, and is four
	// times the open flows of a balancer at the design size.
	MaxFlows = 50_000
	// sweepInterval is the time between two sweeps over all flows and agents.
	sweepInterval = time.Second
	// parkInterval is the time between two tries of a parked flow.
	parkInterval = 20 * time.Millisecond
)

// Config configures a balancer.
type Config struct {
	DataCentre string
	// MaxFlows is the maximum number of tracked flows; 0 means the constant MaxFlows.
	MaxFlows int
	// First is set when no flow can be older than the balancer, since the whole system starts for the first time.
	First bool
	// Without says which mechanisms are switched off, for measurements.
	Without policy.Without
}
