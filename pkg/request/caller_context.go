package request

import (
	"context"
	"net"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

type callerContextKey struct{}

// withCaller returns a context that carries the flow key of the caller.
func withCaller(ctx context.Context, key flow.Key) context.Context {
	return context.WithValue(ctx, callerContextKey{}, key)
}

// callerOf returns the flow key of the caller's connection.
func callerOf(ctx context.Context) flow.Key {
	key, _ := ctx.Value(callerContextKey{}).(flow.Key)
	return key
}

func flowContext(ctx context.Context, c net.Conn) context.Context {
	fc, ok := c.(*flowConn)
	if !ok {
		return ctx
	}
	return withCaller(ctx, fc.key)
}
