package eventloop

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestClockConvertsWallClockTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		before := clock.AtUnixMilli(time.Now().Add(-5 * time.Second).UnixMilli())
		if clock.AtUnixMilli(0) != 0 || before != clock.Now()-5*time.Second || before <= 0 {
			t.Errorf("clock shows %v: AtUnixMilli(0) = %v, want 0; AtUnixMilli(5 s ago) = %v, want 5 s less",
				clock.Now(), clock.AtUnixMilli(0), before)
		}
		if old := clock.AtUnixMilli(1); old != 0 {
			t.Errorf("AtUnixMilli(1) = %v, want 0, as 1970 is before the clock's range", old)
		}
	})
}
