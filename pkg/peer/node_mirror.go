package peer

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// Mirror hands refusal records to one other balancer and returns its ID. It tries several neighbours and returns an
// error when none of them took the records.
func (n *Node) Mirror(ctx context.Context, records []byte) (string, error) {
	request := &peerpb.MirrorRefusalsRequest{Id: n.cfg.Self.ID, Records: records}
	errs := []error{trace.NotFound("no peer is known")}
	for _, p := range n.pick(pushFanOut) {
		err := mirrorTo(ctx, n.dialer, p.ControlAddr, request)
		if err == nil {
			return p.ID, nil
		}
		errs = append(errs, err)
	}
	return "", trace.Wrap(errs[len(errs)-1], "mirror refusal records")
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
