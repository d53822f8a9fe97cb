package capture

import (
	"time"

	"reachpulley/scheduler"
)

// The sizes of parts and the times between chunks. Each part begins with a snapshot, so it can be replayed without the
// parts before it.
const (
	// minPartBytes is the minimum size of a part's events and actions in bytes, unless the memory is too small for it.
	minPartBytes = 256 << 10
	// snapshotMultiple is the minimum size of a part's events and actions, in multiples of its snapshot's size. Unless
	// the memory is too small for it, snapshots take at most a fifth of all bytes.
	snapshotMultiple = 4
	// partSlack is the space in bytes for the last event of a part with its actions, and for a snapshot that is larger
	// than the one before it.
	partSlack = 8 << 10
	// minPartsInMemory is the minimum number of parts that fit into memory, not counting their snapshots. With four of
	// them, dropping the oldest part drops about a quarter of the history at most.
	minPartsInMemory = 4
	// chunkInterval is the minimum time between two chunks that are offered to the sink, except at the end of a part.
	chunkInterval = time.Second
	// restartBackoff is the time between two attempts to begin a part while the snapshot does not fit into memory.
	restartBackoff = 10 * time.Second
)

// Recorder is a Scheduler whose events and actions are recorded. It keeps the newest records in memory and offers
// all of them to a Sink. It runs in the goroutine of the Scheduler and never blocks.
type Recorder struct {
	*scheduler.Scheduler
	head    Head
	options Options

	events uint64        // number of events that were recorded so far
	now    time.Duration // time of the last event

	// The parts in memory.
	completed      [][]byte        // complete parts, the oldest first
	completedBytes int             // capacity of the complete parts in bytes
	startedAt      []time.Duration // start times of the complete parts and, last, of the current one

	// The current part.
	part          []byte        // its frames; bytes are only ever appended to it
	snapshotBytes int           // length of the snapshot that it begins with
	broken        bool          // a record of this part was lost, so nothing is added until the next part begins
	restartAt     time.Duration // earliest time for the next part, if this one is broken
	lost          int           // records that were lost because the part was broken

	// What the sink has seen.
	offeredBytes    int           // bytes of the current part that were offered
	offeredAt       time.Duration // time of the last chunk
	newRecords      int           // records since the last chunk
	sinkSkipsPart   bool          // the sink refused a chunk of this part, so the rest is of no use and not offered
	sinkLostRecords int           // records that the sink did not take since the last chunk that it took

	// The record that is being added, its request and its outcome. They are fields so that recording does not allocate
	// them.
	scratch Record
	request scheduler.Request
	outcome scheduler.Outcome
}

var _ Scheduler = (*Recorder)(nil)

// NewRecorder returns a Recorder with a new Scheduler. It fails on settings that the Scheduler rejects.
func NewRecorder(
	settings scheduler.Settings, seed uint64, options Options, actions scheduler.Actions,
) (*Recorder, error) {
	r := &Recorder{
		head: Head{
			Version:  Version,
			Program:  options.Program,
			Seed:     seed,
			Settings: settings,
		},
		options: options,
	}
	if !options.Origin.IsZero() {
		r.head.Origin = options.Origin.UnixNano()
	}
	var err error
	r.Scheduler, err = scheduler.New(settings, seed, recordedActions{actionRecorder{r.add}, actions})
	if err != nil {
		return nil, err
	}
	r.beginPart(0)
	return r, nil
}

// addEvent records an event. Parts and recordings of triggers end only between two events, so that each holds all
// actions that an event called for.
func (r *Recorder) addEvent(event Record) {
	if r.options.Triggers != nil {
		for _, match := range r.options.Triggers.Due(event.At) {
			r.options.OnTrigger(match, r.recordingFrom(match.From))
		}
	}
	partFull := !r.broken && len(r.part)-r.snapshotBytes >= r.partCapacity()
	restartDue := r.broken && event.At >= r.restartAt
	switch {
	case partFull, restartDue:
		r.beginPart(event.At)
	case event.At-r.offeredAt >= chunkInterval:
		r.offerChunk(event.At)
	}
	r.now = event.At
	r.add(event)
	r.events++
}

// add appends a record to the current part. A record that can't be encoded breaks the part: a replay stops there
// and resumes at the next part.
func (r *Recorder) add(record Record) {
	r.scratch = record
	if r.options.Triggers != nil {
		r.options.Triggers.Add(&r.scratch, r.now)
	}
	if r.broken {
		r.lost++
		return
	}
	length := len(r.part)
	var err error
	r.part, err = appendFrame(r.part, &r.scratch)
	if err != nil {
		r.part = r.part[:length]
		r.broken = true
		r.lost++
	}
	r.newRecords++
}

// partCapacity returns the number of bytes of events and actions after which a part ends.
func (r *Recorder) partCapacity() int {
	return min(max(minPartBytes, snapshotMultiple*r.snapshotBytes), r.options.MaxBytes/minPartsInMemory)
}

// beginPart completes the current part and begins another one with a snapshot.
func (r *Recorder) beginPart(now time.Duration) {
	r.offerChunk(now)
	if len(r.part) > 0 {
		r.completed = append(r.completed, r.part)
		r.completedBytes += cap(r.part)
	} else {
		// The snapshot of the current part did not fit, so the part is empty and the next one replaces it.
		r.startedAt = r.startedAt[:len(r.completed)]
	}
	size := r.snapshotBytes + r.partCapacity() + partSlack
	r.dropOldest(size)
	r.startedAt = append(r.startedAt, now)
	r.part = make([]byte, 0, size)
	r.offeredBytes = 0
	r.sinkSkipsPart = false
	r.broken = false
	if r.lost > 0 {
		r.add(Record{Kind: KindGap, At: now, Lost: r.lost})
		r.lost = 0
	}
	r.addSnapshot(now)
}

// dropOldest drops the oldest parts until the next one fits into memory.
func (r *Recorder) dropOldest(nextSize int) {
	for len(r.completed) > 0 && r.completedBytes+nextSize > r.options.MaxBytes {
		r.completedBytes -= cap(r.completed[0])
		r.completed[0] = nil // the slice's array would keep the part in memory
		r.completed = r.completed[1:]
		r.startedAt = r.startedAt[1:]
	}
}

// addSnapshot records the state before the next event. A state that does not fit into memory breaks the part. The next
// part begins after a pause, because a snapshot at every event would hold up the event loop.
func (r *Recorder) addSnapshot(now time.Duration) {
	r.add(Record{Kind: KindSnapshot, At: now, Key: r.events, State: r.Scheduler.Snapshot()})
	r.snapshotBytes = len(r.part)
	if r.snapshotBytes > r.options.MaxBytes {
		r.part = nil
		r.snapshotBytes = 0
		r.broken = true
		r.lost++
	}
	if r.broken {
		r.restartAt = now + restartBackoff
	}
}

// offerChunk offers to the sink what was added to the part since the last chunk.
func (r *Recorder) offerChunk(now time.Duration) {
	r.offeredAt = now
	if r.options.Sink == nil || r.offeredBytes == len(r.part) {
		return
	}
	chunk := Chunk{
		Head:       &r.head,
		Frames:     r.part[r.offeredBytes:len(r.part):len(r.part)],
		StartsPart: r.offeredBytes == 0,
		Lost:       r.sinkLostRecords,
		Records:    r.newRecords,
	}
	if r.sinkSkipsPart || !r.options.Sink.Offer(chunk) {
		r.sinkSkipsPart = true
		r.sinkLostRecords += r.newRecords
	} else {
		r.sinkLostRecords = 0
	}
	r.offeredBytes = len(r.part)
	r.newRecords = 0
}

// Flush offers to the sink all records that were not offered yet. It is called at the end of the recording.
func (r *Recorder) Flush(now time.Duration) { r.offerChunk(now) }
