package requests

// policy selects how callers choose agents and how agents queue and shed requests.
type policy string

// policyFull is the system itself; the others are baselines.
const (
	policyFull      policy = "auburnwood"
	policyNoShed    policy = "no-shedding"
	policyUnbounded policy = "unbounded-queue"
	policyHashing   policy = "hashing-only"
)

var baselines = []policy{policyNoShed, policyUnbounded, policyHashing}

// noShedSlots is a number of slots or queue places that no run reaches, so that the agent sheds nothing.
const noShedSlots = 1 << 20

func (p policy) balancesLoad() bool { return p == policyFull }
