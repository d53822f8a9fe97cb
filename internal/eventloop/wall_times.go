package eventloop

import (
	"slices"
	"sync"
	"time"
)

const (
	// minClockStep is the difference from which on the wall clock counts as set, not as adjusted.
	minClockStep = time.Second
	// maxSettings bounds the settings of the wall clock that are remembered.
	maxSettings = 8
	// maxConverted bounds the times that are remembered. There are at most 3,200 nodes.
	maxConverted = 8192
)

// WallTimes converts wall-clock times that others tell to the time of a Clock, although the wall clock may be set, here
// or there. Its methods may be called from any goroutine.
//
// The result for a time never changes once it was converted. For a new time there is one result for each setting of the
// wall clock that was seen, of which the latest that is not in the future is taken: a node that may have started just
// now counts as cold.
type WallTimes struct {
	clock Clock
	wall  func() time.Time

	mu        sync.Mutex
	origins   []time.Duration         // Unix times at which the clock would have shown 0, the latest setting last
	converted map[int64]time.Duration // by Unix time in milliseconds
}

// NewWallTimes returns a WallTimes for a clock.
func NewWallTimes(clock Clock) *WallTimes {
	w := &WallTimes{clock: clock, wall: time.Now, converted: map[int64]time.Duration{}}
	w.noteSettingLocked(clock.Now())
	return w
}

// AtUnixMilli converts a Unix time in milliseconds to the time of the clock. 0 means long ago and stays 0; a time
// before the clock's range also becomes 0.
func (w *WallTimes) AtUnixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, known := w.converted[ms]; known {
		return at
	}
	now := w.clock.Now()
	w.noteSettingLocked(now)
	latest := time.Duration(0)
	for _, origin := range w.origins {
		at := time.Duration(ms)*time.Millisecond - origin
		latest = max(latest, min(at, now))
	}
	if len(w.converted) >= maxConverted {
		clear(w.converted)
	}
	w.converted[ms] = latest
	return latest
}

// noteSettingLocked records the setting of the wall clock if it is a new one.
func (w *WallTimes) noteSettingLocked(now time.Duration) {
	origin := time.Duration(w.wall().UnixNano()) - now
	same := func(other time.Duration) bool { return (other - origin).Abs() < minClockStep }
	if slices.ContainsFunc(w.origins, same) {
		return
	}
	if len(w.origins) >= maxSettings {
		w.origins = slices.Delete(w.origins, 1, 2) // the first one is that of the start
	}
	w.origins = append(w.origins, origin)
}
