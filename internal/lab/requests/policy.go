package requests

// policy is how the agents of a run decide.
type policy string

// Policies: the system itself and the baselines.
const (
	policyFull      policy = "auburnwood"
	policyNoShed    policy = "no-shedding"
	policyUnbounded policy = "unbounded-queue"
	policyHashing   policy = "hashing-only"
)

var baselines = []policy{policyNoShed, policyUnbounded, policyHashing}

// noShedSlots lets the agent pass everything on, so that requests queue at the target.
const noShedSlots = 1 << 20

func (p policy) steers() bool { return p == policyFull }
