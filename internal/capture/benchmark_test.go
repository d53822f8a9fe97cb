package capture

import (
	"fmt"
	"testing"
	"time"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// BenchmarkRecord plays a random workload without a recorder, with one that records to memory, and with one that
// also has a sink. The ratio of two results is the cost of recording.
func BenchmarkRecord(b *testing.B) {
	const events = 20_000
	for name, options := range map[string]*Options{
		"off":    nil,
		"memory": {MaxBytes: 4 << 20},
		"sink":   {MaxBytes: 4 << 20, Sink: discardSink{}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				workload := capturetest.NewWorkload(1)
				var s Scheduler
				var err error
				if options == nil {
					s, err = scheduler.New(settings, 1, workload)
				} else {
					s, err = NewRecorder(settings, 1, *options, workload)
				}
				if err != nil {
					b.Fatal(err)
				}
				workload.Play(s, events)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}

// discardSink takes every chunk and keeps nothing.
type discardSink struct{}

func (discardSink) Offer(Chunk) bool { return true }

// BenchmarkSnapshot measures for how long the snapshot at the beginning of a part holds up the event loop.
func BenchmarkSnapshot(b *testing.B) {
	for _, volumes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(volumes, " volumes"), func(b *testing.B) {
			s := newLoadedScheduler(b, volumes)
			var frame []byte
			var err error
			for b.Loop() {
				frame, err = appendFrame(frame[:0], Record{Kind: KindSnapshot, State: s.Snapshot()})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "B")
		})
	}
}

// newLoadedScheduler returns a Scheduler with 24 nodes and one open request for each volume.
func newLoadedScheduler(b *testing.B, volumes int) *scheduler.Scheduler {
	b.Helper()
	s, err := scheduler.New(settings, 1, capturetest.NewWorkload(1))
	if err != nil {
		b.Fatal(err)
	}
	var membership scheduler.Membership
	for i := range 24 {
		node := scheduler.Node{ID: fmt.Sprint("node-", i), Shard: i % 3, Size: 1}
		membership.Nodes = append(membership.Nodes, node)
	}
	s.MembershipChanged(time.Hour, membership)
	for i := range volumes {
		s.RequestArrived(time.Hour, scheduler.Request{
			ID:            fmt.Sprint("request-", i),
			Volume:        fmt.Sprint("volume-", i),
			Units:         2,
			Shard:         i % 3,
			ClientTimeout: time.Second,
			Hosts:         2,
		})
	}
	return s
}

// BenchmarkReplay measures how fast captures are replayed and compared.
func BenchmarkReplay(b *testing.B) {
	file := recordFile(b, 1, 20_000, 64<<20)
	events := 0
	for b.Loop() {
		replayed, err := replayFile(file)
		if err != nil {
			b.Fatal(err)
		}
		events += replayed
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(float64(len(file))/float64(events/b.N), "B/event")
}
