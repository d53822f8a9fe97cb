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

// startOfNext is the time at which the incarnations of newNext begin, on a clock of their own.
const startOfNext = time.Hour

// newScheduler makes a Scheduler with the test settings.
func newScheduler(t rapid.TB, seed uint64, actions scheduler.Actions) *scheduler.Scheduler {
	t.Helper()
	s, err := scheduler.New(capturetest.Settings, seed, actions)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// stateAfter returns the state of a Scheduler after a random workload.
func stateAfter(t rapid.TB, seed uint64, events int) *scheduler.Snapshot {
	t.Helper()
	workload := capturetest.NewWorkload(seed)
	s := newScheduler(t, seed, workload)
	workload.Play(s, events)
	return s.Snapshot()
}

// newNext makes a Scheduler that starts so long after a previous state was taken, on a clock that begins anew. It
// restores the state unless that is nil.
func newNext(t rapid.TB, previous *scheduler.Snapshot, age time.Duration) *scheduler.Scheduler {
	t.Helper()
	s := newScheduler(t, 7, capturetest.NewWorkloadAt(99, startOfNext))
	if previous != nil {
		s.Restore(startOfNext, assess(previous, startOfNext, age).Learned)
	}
	return s
}

// assess assesses a state for an incarnation whose clock does not go on from that of the previous one.
func assess(previous *scheduler.Snapshot, now, age time.Duration) Assessment {
	return Assess(previous, capturetest.Settings, now, age, now-age-previous.Now)
}
