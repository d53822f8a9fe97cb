package warmrestart

import (
	"flag"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// Every run of the property tests draws the same cases.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "40")
}

const ms = time.Millisecond

// nextStart is the time at which the incarnations of newNext begin, on a clock of their own.
const nextStart = time.Hour

// newScheduler makes a Scheduler with the test settings.
func newScheduler(t rapid.TB, seed uint64, actions scheduler.Actions) *scheduler.Scheduler {
	t.Helper()
	s, err := scheduler.New(capturetest.Settings, seed, actions)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// stateAfter returns the state of a Scheduler after a random workload of the given number of events.
func stateAfter(t rapid.TB, seed uint64, events int) *scheduler.Snapshot {
	t.Helper()
	workload := capturetest.NewWorkload(seed)
	s := newScheduler(t, seed, workload)
	workload.Play(s, events)
	return s.Snapshot()
}

// newNext makes the Scheduler of the next incarnation, which has a new clock and starts when the previous state has the
// given age. It restores the previous state unless that is nil.
func newNext(t rapid.TB, previous *scheduler.Snapshot, age time.Duration) *scheduler.Scheduler {
	t.Helper()
	s := newScheduler(t, 7, capturetest.NewWorkloadAt(99, nextStart))
	if previous != nil {
		s.Restore(nextStart, assess(previous, nextStart, age).Learned)
	}
	return s
}

// assess calls Assess for an incarnation whose clock has no relation to that of the previous one. The age is how long
// before now the previous state was taken.
func assess(previous *scheduler.Snapshot, now, age time.Duration) Assessment {
	return Assess(previous, capturetest.Settings, now, age, now-age-previous.Now)
}
