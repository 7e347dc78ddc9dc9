package overload

import "github.com/auburnwood/auburnwood/pkg/flow"

// shareSalt separates the order in which flows are refused from other uses of the flow hash.
const shareSalt = 0x6f7665726c6f6164

// point places a flow between 0 and 1, alike at every balancer: flows above the share of their priority are refused.
func point(hash uint64) float64 { return float64(flow.Mix(hash^shareSalt)>>11) / (1 << 53) }

// Takes reports whether a share includes the flow with the given hash.
func Takes(share float64, hash uint64) bool { return share >= 1 || point(hash) < share }
