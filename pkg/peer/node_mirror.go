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
	errs := []error{trace.NotFound("no peer is known")}
	var holders []string
	for _, p := range n.pick(pushFanOut) {
		if len(holders) == mirrorCount {
			break
		}
		if err := mirrorTo(ctx, n.dialer, p.ControlAddr, request); err != nil {
			errs = append(errs, err)
			continue
		}
		holders = append(holders, p.ID)
	}
	if len(holders) > 0 {
		return holders, nil
	}
	return nil, trace.Wrap(errs[len(errs)-1], "mirror refusal records")
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
