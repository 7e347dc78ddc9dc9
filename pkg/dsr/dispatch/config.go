package dispatch

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Times and limits of the decisions.
const (
	// HedgeAfter, LocateTimeout and ProbeTimeout are how long an agent may take to answer an opening packet, to say whether it holds
	// a flow, and whether its target returned a packet, until the balancer has learnt how long answers take. Then an opening packet
	// has OfferWait (what an agent waits for its target) beyond the longest usual answer, a probe ProbeWait; the start values are
	// the least for the other two. maxTimeout bounds all, since callers repeat opening packets after 200 ms.
	HedgeAfter    = 25 * time.Millisecond
	LocateTimeout = 20 * time.Millisecond
	ProbeTimeout  = 35 * time.Millisecond
	OfferWait     = 12 * time.Millisecond
	ProbeWait     = 20 * time.Millisecond
	maxTimeout    = 150 * time.Millisecond
	// SearchMessagesPerSecond and SearchBurst bound the questions of one balancer about owners, since a search asks every
	// agent of a service and anybody can send packets of flows that do not exist. The rate is what the smallest VMs can bear, the burst
	// covers the open flows that a balancer takes over from one that left.
	SearchMessagesPerSecond = 500
	SearchBurst             = 2000
	// SettleTime is how long a balancer that has started may not know every agent, and every balancer an agent that has
	// joined: two announcements and a lost one's margin. Until then no target gets a packet on suspicion.
	SettleTime = 600 * time.Millisecond
	// SearchInitialAgents is the number of agents that a search asks first, those to which the flow would be offered first when all targets are
	// free. What they do not hold is searched at SearchGrowth times as many others, and so on: asking all at once would spend the budget of
	// searches on a few flows where a service has many agents.
	SearchInitialAgents = 8
	SearchGrowth        = 4
	// LocateRounds is the number of times that agents are asked in one search; a question or an answer may be lost.
	LocateRounds = 3
	// LocateRetryInterval is the time between two searches for the owner of one flow that nobody holds.
	LocateRetryInterval = 150 * time.Millisecond
	// MaxProbes is the number of targets that may be handed a packet of one flow on suspicion within ProbeWindow. A target
	// returns a packet of a flow that it does not hold, but each costs it work.
	MaxProbes   = 2
	ProbeWindow = 2500 * time.Millisecond
	// StartedTogetherWindow is how far apart agents may start that were ended by the same failure.
	StartedTogetherWindow = 2 * time.Second
	// MaxFreeTries is the number of agents that are asked about one new flow for a free slot, MaxQueueTries for a place in the
	// queue: the two that seem to have the shortest. When their queues are too long, so are the others'.
	MaxFreeTries  = 5
	MaxQueueTries = 2
	// QueueSampleSize is the number of agents that are compared for a place in a queue. What a balancer knows of queues is old: if all balancers
	// compared all targets, they would send their flows to the same shortest queue until the next report.
	QueueSampleSize = 3
	// HedgeRatio is the number of unanswered offers for each offer that the next agent may be asked about, HedgeBurst that many
	// at once. A dead agent is asked a few times until it is suspect, and a bad link loses some messages. More unanswered offers mean that
	// answers are late because balancers or links are overloaded, and further offers would feed the overload.
	HedgeRatio = 0.1
	HedgeBurst = 50
	// MaxHeld is the number of packets of one flow that wait for its owner: what one end may have under way.
	MaxHeld = 16
	// FirstRetransmission is the time after which the first copy of an opening packet may have been sent, perhaps through another
	// balancer: callers send it after 200 ms. A flow that is older is not reset, since it may be open.
	FirstRetransmission = 180 * time.Millisecond
	// StallThreshold is how long a balancer may not have run until it takes itself for one that stood still: more than two
	// calls of Awake, and less than FirstCopy. DoubtTime is how long it then reads packets that may have waited in its socket.
	StallThreshold   = 120 * time.Millisecond
	StallBacklogTime = 300 * time.Millisecond
	// OpeningTimeout is how long callers wait for an answer to their opening packet at most.
	OpeningTimeout = 1400 * time.Millisecond
	// MaxAnnounceInterval bounds what an agent says of the time between its announcements.
	MaxAnnounceInterval = 5 * time.Minute
	// RecentlySeen is how old an agent's last message may be for a flow that waits there to be taken for alive.
	RecentlySeen = 500 * time.Millisecond
	// ParkTimeout is how long a new flow waits for a balancer or agents that have just started. Its caller sends the last
	// copy of the opening packet after 0.6 s and gives up after 1.4 s.
	ParkTimeout = 1200 * time.Millisecond
	// StartupGrace is how long after the start of a balancer a missing agent may just not have announced itself yet.
	StartupGrace = 1500 * time.Millisecond
	// StaleConfigurationTimeout is how long a new flow waits for a configuration that an agent knows to be newer.
	StaleConfigurationTimeout = 400 * time.Millisecond
	// AgentSilenceTimeout is how long an agent may be silent at least until it is not used: silentAnnouncements of 250 ms.
	AgentSilenceTimeout = time.Second
	silentAnnouncements = 4
	// IsolatedAfter is how long no agent at all may be heard of until the balancer takes itself for cut off: two
	// announcements of every agent.
	IsolatedAfter = 500 * time.Millisecond
	// AgentExpiry is how long an agent is kept that is not used for its silence.
	AgentExpiry = 10 * time.Second
	// RefusedLinger is how long copies of a refused opening packet are answered with the same refusal.
	RefusedLinger = time.Second
	// ClosedLinger is how long the owner of a flow is known after its caller has closed it.
	ClosedLinger = 5 * time.Second
	// InitialWorkTime is taken for the work of one request until the agent of a target tells it.
	InitialWorkTime = 30 * time.Millisecond
	// SlowFactor is the multiple of the service's usual work above which a free slot does not count as free: another target
	// answers earlier even when the request has to wait there for one or two others.
	SlowFactor = 3
	// MaxFlows is the number of flows that a balancer keeps when the settings name none: a third of the memory of the smallest VM, and four
	// times the open flows of a balancer at the size to design for.
	MaxFlows = 50_000
	// sweepInterval is the time between two walks over all flows.
	sweepInterval = time.Second
	// parkInterval is the time between two tries of a waiting flow.
	parkInterval = 20 * time.Millisecond
)

// Config describes the balancer.
type Config struct {
	// DataCentre is the balancer's data centre.
	DataCentre string
	// MaxFlows is the number of flows that the balancer keeps; 0 means the constant of that name.
	MaxFlows int
	// Without says which mechanisms are switched off, for measurements.
	Without policy.Without
}
