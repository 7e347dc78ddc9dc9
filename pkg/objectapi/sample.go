package objectapi

import "context"

// Sampler is a Store that can return a part of a list at a fraction of the price of List.
type Sampler interface {
	// Sample returns some objects of a kind from one call, in order of name from the first name beyond after: all of them
	// where they fit one response. They may be seconds old, so they must not be written back nor taken for the newest.
	Sample(ctx context.Context, kind Kind, after string) ([]Object, error)
}

// Sample samples the objects of a kind. A store that is no Sampler is listed.
func Sample(ctx context.Context, s Store, kind Kind, after string) ([]Object, error) {
	if sampler, ok := s.(Sampler); ok {
		return sampler.Sample(ctx, kind, after)
	}
	objects, _, err := s.List(ctx, kind)
	return objects, err
}
