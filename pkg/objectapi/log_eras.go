package objectapi

import (
	"context"

	"github.com/rs/zerolog"
)

// LogEras logs each new era until ctx ends, the first one at level info and later ones as warnings. It returns the error
// of ctx.
func LogEras(ctx context.Context, eras *Eras, log zerolog.Logger) error {
	for before := uint64(0); ; {
		era, changed := eras.Changed()
		switch {
		case era == before:
		case before == 0:
			log.Info().Str("op", "object-api-era").Uint64("era", era).Msg("the object API names its era")
		default:
			log.Warn().Str("op", "object-api-era").Uint64("era", era).Uint64("before", before).
				Msg("the object API came back from an older copy")
		}
		before = era
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
