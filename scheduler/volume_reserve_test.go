package scheduler

import (
	"fmt"
	"testing"
)

// The clients of a volume use their hosts unevenly. A host's share of the reserve is its share of the volume's use, but
// at least an equal share, which it also gets if the use is unknown.
func TestReserveFollowsMeteredUse(t *testing.T) {
	for use, want := range map[float64]float64{-1: 25, 0.1: 100, 0.4: 50, 4: 25} {
		t.Run(fmt.Sprint("volume use ", use), func(t *testing.T) {
			settings := baseSettings()
			settings.Siblings = 4
			settings.Plans[0].Reserve = 100
			h := newHarness(t, settings)
			for range 20 { // served at 20 units a second
				h.advance(100 * ms)
				id := h.arrive(Request{Hosts: 4})
				h.AttemptEnded(h.now, Outcome{
					ID:        id,
					Node:      "a",
					Result:    Served,
					Latency:   20 * ms,
					Concluded: true,
					VolumeUse: use,
				})
			}
			if got := h.volumes["v"].reserve.rate; got < 0.8*want || got > 1.2*want {
				t.Errorf("the host's share of the reserve is %v units a second, want about %v", got, want)
			}
		})
	}
}
