package processes

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// callTimeout bounds a call of the control listener; downloads may take long.
const callTimeout = 5 * time.Minute

// Call sends a POST to the control listener of the stand-ins and copies the answer to out.
func Call(ctx context.Context, l Layout, pathAndQuery string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + l.addr(portAdmin).String() + pathAndQuery
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(out, resp.Body); err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s: %s", pathAndQuery, resp.Status)
	}
	return nil
}
