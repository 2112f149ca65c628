package gateway

import (
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/forward"
)

const (
	// startTime is the time from the start of the process in which it expects to learn the configuration.
	startTime = 2 * time.Second
	// configurationWait and configurationShare, of the time that the caller waits, bound the time for which a request waits for
	// a configuration that is on its way. It comes within some tenths of a second, and a refusal costs the caller one of its
	// few attempts.
	configurationWait  = 700 * time.Millisecond
	configurationShare = 0.3
	// usualAllowed stands in for the time of a caller that names none.
	usualAllowed = time.Second
)

// world returns the configuration and targets for a request that came just now, or nil if this host does not have them and does
// not expect them in time.
func (f *front) world(r *http.Request) *forward.World {
	world, changed := f.engine.Watch()
	if f.isCurrent(world) {
		return world
	}
	if world == nil && time.Since(f.started) > startTime {
		return nil
	}
	allowed, named := f.dialect.Allowed(r.Header)
	if !named {
		allowed = usualAllowed
	}
	timer := time.NewTimer(min(configurationWait, time.Duration(configurationShare*float64(allowed))))
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-r.Context().Done():
			return nil
		case <-f.stopper.final.Done():
			return nil
		}
		world, changed = f.engine.Watch()
		if f.isCurrent(world) {
			return world
		}
	}
}

// isCurrent tells whether the callers of this host have not seen the effect of a later configuration.
func (f *front) isCurrent(world *forward.World) bool {
	return world != nil && world.Table.Generation >= f.hop.least()
}
