package peer

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// Mirror sends refusal records to mirrorCount neighbours, so that they survive the loss of this balancer and one of the
// neighbours, or to fewer when no other accepts them. It returns the IDs of those that accepted, and an error when none
// did.
func (n *Node) Mirror(ctx context.Context, records []byte) ([]string, error) {
	request := &peerpb.MirrorRefusalsRequest{Id: n.cfg.Self.ID, Records: records}
	peers := n.pickNeighbours(pushFanOut)
	addrs := make([]string, 0, len(peers))
	for _, p := range peers {
		addrs = append(addrs, p.ControlAddr)
	}
	accepted, err := mirrorToSome(ctx, n.dialer, addrs, request)
	holders := make([]string, 0, len(accepted))
	for _, i := range accepted {
		holders = append(holders, peers[i].ID)
	}
	return holders, err
}

// mirrorToSome tries the addresses in order until mirrorCount have accepted the records. It returns the indexes of
// those that did, and an error when none did.
func mirrorToSome(ctx context.Context, d *dialer, addrs []string, request *peerpb.MirrorRefusalsRequest) ([]int, error) {
	err := error(trace.NotFound("no balancer is known"))
	var accepted []int
	for i, addr := range addrs {
		if len(accepted) == mirrorCount {
			break
		}
		if e := mirrorTo(ctx, d, addr, request); e != nil {
			err = e
			continue
		}
		accepted = append(accepted, i)
	}
	if len(accepted) > 0 {
		return accepted, nil
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
		return trace.Wrap(err, "mirror refusal records to peer %s", addr)
	}
	return nil
}
