package dsrd

// directoryWriterState is whether a balancer writes the agents that may hold open flows, or why it does not.
type directoryWriterState string

const (
	// directoryWrites is the state of the balancer that writes.
	directoryWrites directoryWriterState = "writes"
	// directoryNotWatching is the state while another balancer watches the object API for all.
	directoryNotWatching directoryWriterState = "not-watching"
	// directoryStarting is the state until agents that joined around the start of the process are known.
	directoryStarting directoryWriterState = "starting"
	// directoryUnused is the state while no agent has reported an open flow within directory.MaxFlowAge.
	directoryUnused directoryWriterState = "no-open-flows"
	// directoryIncomplete is the state while not all agents are known.
	directoryIncomplete directoryWriterState = "agents-not-all-known"
)
