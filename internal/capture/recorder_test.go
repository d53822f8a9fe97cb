package capture

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// When its memory is full, a recorder keeps the newest parts, and they can be replayed without the older ones.
func TestRecorderKeepsTheNewestParts(t *testing.T) {
	const maxBytes = 300_000
	r := record(t, 2, 20_000, maxBytes)
	held := cap(r.part)
	for _, part := range r.completed {
		held += cap(part)
	}
	if held > maxBytes || len(r.completed) == 0 {
		t.Errorf("%d bytes in memory with %d complete parts, want at most %d bytes and at least one complete part",
			held, len(r.completed), maxBytes)
	}
	allEvents, _ := replayFile(recordFile(t, 2, 20_000, 64<<20))
	events, err := replayFile(fileOf(t, r))
	if err != nil || events == 0 || events >= allEvents {
		t.Errorf("%d of %d events replayed, want some but not all; error: %v", events, allEvents, err)
	}
}

// While the state exceeds the Recorder's memory, the recording pauses. It resumes once the state fits again, with a gap
// for the lost records.
func TestRecorderPausesWhileTheStateExceedsItsMemory(t *testing.T) {
	const maxBytes = 30_000
	r, err := NewRecorder(settings, 1, Options{MaxBytes: maxBytes}, capturetest.NewWorkload(1))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	r.MembershipChanged(now, scheduler.Membership{Kind: scheduler.FullList})
	requestID := func(i int) string { return fmt.Sprint("waits-", i) }
	for i := range 1000 { // there is no node, so the requests wait
		now += time.Millisecond
		r.RequestArrived(now, scheduler.Request{
			ID:            requestID(i),
			Volume:        fmt.Sprint("v", i),
			Units:         1,
			ClientTimeout: time.Minute,
			Hosts:         1,
		})
		if held := r.completedBytes + cap(r.part); held > 2*maxBytes {
			t.Fatalf("%d bytes in memory, more than twice the limit of %d", held, maxBytes)
		}
	}
	if !r.broken || r.lost == 0 {
		t.Errorf("part broken: %t, %d records lost; want a state that does not fit into %d bytes",
			r.broken, r.lost, maxBytes)
	}
	for i := range 1000 {
		r.ClientDisconnected(now, requestID(i))
	}
	for range 400 { // until the Scheduler has dropped the volumes
		now += time.Second
		r.TimerFired(now, 0)
	}
	events, err := replayFile(fileOf(t, r))
	if r.broken || events == 0 || err != nil && !errors.Is(err, ErrGap) {
		t.Errorf("part broken: %t, %d events replayed, error: %v; want an unbroken part, some events, at most a gap",
			r.broken, events, err)
	}
}

// Notes stand between events and do not affect a replay.
func TestNotesDoNotAffectTheReplay(t *testing.T) {
	workload := capturetest.NewWorkload(6)
	r, err := NewRecorder(settings, 6, Options{MaxBytes: 8 << 20}, workload)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		workload.Play(r, 50)
		r.Note(time.Hour, "12 connections closed for want of capacity")
	}
	file := fileOf(t, r)
	if events, err := replayFile(file); err != nil || events < 500 {
		t.Errorf("%d events replayed, want at least 500; error: %v", events, err)
	}
	notes := 0
	_, records := readFile(t, file)
	for _, record := range records {
		if record.Kind == KindNote && record.Text != "" {
			notes++
		}
	}
	if notes != 20 {
		t.Errorf("%d notes in the capture, want 20", notes)
	}
}

// recordOutgrowingState records a state that does not fit into the memory. It does so for long enough that the
// recorder tries several times in vain to begin a part.
func recordOutgrowingState(t *testing.T, options Options) (r *Recorder, now time.Duration) {
	t.Helper()
	r, err := NewRecorder(settings, 1, options, capturetest.NewWorkload(1))
	if err != nil {
		t.Fatal(err)
	}
	now = time.Hour
	for i := range 1000 {
		r.RequestArrived(now, scheduler.Request{
			ID:            fmt.Sprint("waits-", i),
			Volume:        fmt.Sprint("v", i),
			Units:         1,
			ClientTimeout: time.Hour,
			Hosts:         1,
		})
	}
	for range 50 {
		now += time.Second
		r.ClientDisconnected(now, "unknown")
	}
	return r, now
}

// A recording from a time on can be taken while the state does not fit into the memory.
func TestRecordingWhileTheStateExceedsTheMemory(t *testing.T) {
	r, now := recordOutgrowingState(t, Options{MaxBytes: 30_000})
	if !r.broken || r.lost == 0 {
		t.Fatalf("part broken: %t, %d records lost; want a state that does not fit into the memory", r.broken, r.lost)
	}
	file, err := r.recordingFrom(now).File()
	if err != nil {
		t.Fatal(err)
	}
	if _, records := readFile(t, file); len(records) == 0 || records[len(records)-1].Kind != KindGap {
		t.Errorf("%d records, want several of which the last is a gap", len(records))
	}
}
