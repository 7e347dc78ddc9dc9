package peer

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// Mirror hands refusal records to two other balancers, so that they outlive this one and one of the two, or to one when no
// other answers. It returns the IDs of those that took them, and an error when none did.
func (n *Node) Mirror(ctx context.Context, records []byte) ([]string, error) {
	request := &peerpb.MirrorRefusalsRequest{Id: n.cfg.Self.ID, Records: records}
	peers := n.pickNeighbours(pushFanOut)
	addrs := make([]string, 0, len(peers))
	for _, p := range peers {
		addrs = append(addrs, p.ControlAddr)
	}
	taken, err := mirrorToSome(ctx, n.dialer, addrs, request)
	holders := make([]string, 0, len(taken))
	for _, i := range taken {
		holders = append(holders, peers[i].ID)
	}
	return holders, err
}

// mirrorToSome tries the addresses in turn until mirrorCount have taken the records. It returns the indexes of those that
// did, and an error when none did.
func mirrorToSome(ctx context.Context, d *dialer, addrs []string, request *peerpb.MirrorRefusalsRequest) ([]int, error) {
	err := error(trace.NotFound("no balancer is known"))
	var taken []int
	for i, addr := range addrs {
		if len(taken) == mirrorCount {
			break
		}
		if e := mirrorTo(ctx, d, addr, request); e != nil {
			err = e
			continue
		}
		taken = append(taken, i)
	}
	if len(taken) > 0 {
		return taken, nil
	}
	return nil, trace.Wrap(err, "mirror refusal records")
}

func mirrorTo(ctx context.Context, d *dialer, addr string, request *peerpb.MirrorRefusalsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := d.client(addr)
	if err != nil {
		return err
	}
	if _, err := client.MirrorRefusals(ctx, request); err != nil {
		return trace.Wrap(err, "mirror refusal records at peer %s", addr)
	}
	return nil
}
