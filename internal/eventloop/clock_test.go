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
			t.Errorf("0 gives %v, 5 s ago %v at %v", clock.AtUnixMilli(0), before, clock.Now())
		}
		if old := clock.AtUnixMilli(1); old != 0 {
			t.Errorf("1970 gives %v", old)
		}
	})
}
