package capture

import (
	"time"

	"reachpulley/scheduler"
)

// How a Recorder divides what it keeps. Every part begins with a Snapshot, from which it can be replayed alone.
const (
	partBytes    = 256 << 10        // of events and actions in a part at least
	partSnapshot = 4                // and at least so many times the snapshot's own bytes, so that snapshots stay a fifth of a capture
	partSlack    = 8 << 10          // that the last event and its actions, or a snapshot that has grown, may take beyond
	partsHeld    = 4                // parts that fit into the memory at least: what is dropped at once is one of them
	handEvery    = time.Second      // between two pieces for a Sink
	againAfter   = 10 * time.Second // a part that could not be begun is begun again
)

// Chunk is a run of whole frames for a Sink. Nothing changes it later.
type Chunk struct {
	Head       *Head
	Frames     []byte
	StartsPart bool // it is the first piece of a part, so that what follows can be replayed alone
	Lost       int  // records that were lost since the last piece that was taken
	Records    int  // in it
}

// Sink takes pieces on their way to a disk. Offer must not block: it tells whether the piece was taken, and what it does not take is
// lost.
type Sink interface{ Offer(Chunk) bool }

// Options are what a Recorder keeps, and where.
type Options struct {
	Program   string                        // its version, kept for whoever reads the capture
	MaxBytes  int                           // bytes that are kept in memory, the oldest going first
	Sink      Sink                          // nil: memory alone
	Triggers  Watcher                       // decides what is kept by itself; nil: nothing is
	OnTrigger func(TriggerMatch, Recording) // takes that; it must not block
	OnCrash   func(Recording)               // takes what is held when the loop that tells the events panics; nil: nobody does
	Origin    time.Time                     // when the Scheduler's clock read 0; zero: unknown
}

// Watcher follows what is recorded.
type Watcher interface {
	Add(r *Record, now time.Duration)
	Due(now time.Duration) []TriggerMatch
}

// TriggerMatch says what is to be kept, and why.
type TriggerMatch struct {
	Name string        // of the trigger
	From time.Duration // what is before this is not needed
}

// Recorder stands between whoever tells a Scheduler events and the Scheduler, and between the Scheduler and whoever carries its
// actions out. It keeps what was last in memory, and hands all of it to a Sink. It is used by the Scheduler's own goroutine and never
// waits for anybody.
type Recorder struct {
	*scheduler.Scheduler
	head    Head
	options Options

	events   uint64          // actionRecorder so far
	now      time.Duration   // of the last event
	parts    [][]byte        // whole ones, the oldest first
	begun    []time.Duration // when they and the part that is being written begin
	held     int             // their bytes
	part     []byte          // being written; frames are only ever added to it
	snapshot int             // its snapshot's bytes
	broken   bool            // the part lacks a record: nothing is added until the next one
	againAt  time.Duration
	lost     int // records since the last whole part
	handed   int // bytes of the part that the sink was offered
	records  int // since then
	handedAt time.Duration
	refusing bool   // the sink did not take a piece of this part: the rest of it is of no use there
	scratch  Record // what is being added, with the parts below: nothing is allocated for it
	request  scheduler.Request
	outcome  scheduler.Outcome
	missed   int // records that the sink did not take since the last piece that it took
}

// NewRecorder makes a Scheduler that is recorded.
func NewRecorder(settings scheduler.Settings, seed uint64, options Options, actions scheduler.Actions) (*Recorder, error) {
	r := &Recorder{head: Head{Version: Version, Program: options.Program, Seed: seed, Settings: settings}, options: options}
	if !options.Origin.IsZero() {
		r.head.Origin = options.Origin.UnixNano()
	}
	var err error
	if r.Scheduler, err = scheduler.New(settings, seed, both{actionRecorder{r.add}, actions}); err != nil {
		return nil, err
	}
	r.begin(0)
	return r, nil
}

// add keeps a record. One that has no room breaks its part: replays stop there and go on at the next one.
func (r *Recorder) add(one Record) {
	r.scratch = one
	if r.options.Triggers != nil {
		r.options.Triggers.Add(&r.scratch, r.now)
	}
	if r.broken {
		r.lost++
		return
	}
	length := len(r.part)
	var err error
	if r.part, err = frame(r.part, &r.scratch); err != nil {
		r.part = r.part[:length]
		r.broken = true
		r.lost++
	}
	r.records++
}

// event keeps an event. Parts end only between two events, so that each holds all that an event called for.
func (r *Recorder) event(one Record) {
	if r.options.Triggers != nil { // between two events, too: what is kept holds all that the last one called for
		for _, k := range r.options.Triggers.Due(one.At) {
			r.options.OnTrigger(k, r.since(k.From))
		}
	}
	switch {
	case r.broken && one.At >= r.againAt || !r.broken && len(r.part)-r.snapshot >= r.room():
		r.begin(one.At)
	case one.At-r.handedAt >= handEvery:
		r.hand(one.At)
	}
	r.now = one.At
	r.add(one)
	r.events++
}

// since gives the parts that hold what is after a time.
func (r *Recorder) since(from time.Duration) Recording {
	kept := r.Recording()
	for i := 1; i < len(r.begun) && r.begun[i] <= from; i++ {
		kept.parts = kept.parts[1:]
	}
	return kept
}

// room is for how many bytes of events and actions a part is made.
func (r *Recorder) room() int {
	return min(max(partBytes, partSnapshot*r.snapshot), r.options.MaxBytes/partsHeld)
}

// begin closes the part and begins another.
func (r *Recorder) begin(now time.Duration) {
	r.hand(now)
	if len(r.part) > 0 {
		r.parts, r.held = append(r.parts, r.part), r.held+cap(r.part)
	}
	size := r.snapshot + r.room() + partSlack
	for len(r.parts) > 0 && r.held+size > r.options.MaxBytes { // the part to come needs room, too
		r.held -= cap(r.parts[0])
		r.parts[0], r.parts, r.begun = nil, r.parts[1:], r.begun[1:]
	}
	r.begun = append(r.begun, now)
	r.part, r.handed, r.refusing, r.broken = make([]byte, 0, size), 0, false, false
	if r.lost > 0 {
		r.add(Record{Kind: KindGap, At: now, Lost: r.lost})
		r.lost = 0
	}
	r.add(Record{Kind: KindSnapshot, At: now, Key: r.events, State: r.Scheduler.Snapshot()})
	if r.snapshot = len(r.part); r.snapshot > r.options.MaxBytes { // a bound is a bound, whatever the state has grown to
		r.part, r.snapshot, r.broken = nil, 0, true
		r.lost++
	}
	if r.broken { // the state is too large: trying at every event would hold up the loop
		r.againAt = now + againAfter
	}
}

// hand offers the sink what it has not seen of the part.
func (r *Recorder) hand(now time.Duration) {
	r.handedAt = now
	if r.options.Sink == nil || r.handed == len(r.part) {
		return
	}
	piece := Chunk{Head: &r.head, Frames: r.part[r.handed:len(r.part):len(r.part)], StartsPart: r.handed == 0, Lost: r.missed, Records: r.records}
	if r.refusing || !r.options.Sink.Offer(piece) {
		r.refusing = true
		r.missed += r.records
	} else {
		r.missed = 0
	}
	r.handed, r.records = len(r.part), 0
}

// Flush offers the sink all there is, at the end of the recording.
func (r *Recorder) Flush(now time.Duration) { r.hand(now) }

// Recording is what a Recorder holds at a time. It costs little to take, as frames are only ever added.
type Recording struct {
	head  Head
	parts [][]byte
	lost  int
}

// Recording gives what is held.
func (r *Recorder) Recording() Recording {
	parts := make([][]byte, 0, len(r.parts)+1)
	parts = append(append(parts, r.parts...), r.part[:len(r.part):len(r.part)])
	return Recording{r.head, parts, r.lost}
}

// File gives it as a file; a gap stands for what was lost.
func (k Recording) File() ([]byte, error) {
	out, err := frame([]byte(magic), k.head)
	for _, part := range k.parts {
		out = AppendBlock(out, part, true)
	}
	if err == nil && k.lost > 0 {
		out, err = frame(out, Record{Kind: KindGap, Lost: k.lost})
	}
	return out, err
}

// KindRequestArrived is as in scheduler.Scheduler, and so are the others.
func (r *Recorder) RequestArrived(now time.Duration, q scheduler.Request) {
	r.request = q
	r.event(Record{Kind: KindRequestArrived, At: now, Request: &r.request})
	r.Scheduler.RequestArrived(now, q)
}

// ClientDisconnected records a client's leaving.
func (r *Recorder) ClientDisconnected(now time.Duration, id string) {
	r.event(Record{Kind: KindClientDisconnected, At: now, ID: id})
	r.Scheduler.ClientDisconnected(now, id)
}

// AttemptEnded records an attempt's end.
func (r *Recorder) AttemptEnded(now time.Duration, o scheduler.Outcome) {
	r.outcome = o
	r.event(Record{Kind: KindAttemptEnded, At: now, Outcome: &r.outcome})
	r.Scheduler.AttemptEnded(now, o)
}

// ProbeEnded records a probe's end.
func (r *Recorder) ProbeEnded(now time.Duration, p scheduler.ProbeResult) {
	r.event(Record{Kind: KindProbeEnded, At: now, ProbeResult: &p})
	r.Scheduler.ProbeEnded(now, p)
}

// MembershipChanged records news of the list of nodes.
func (r *Recorder) MembershipChanged(now time.Duration, m scheduler.Membership) {
	r.event(Record{Kind: KindMembershipChanged, At: now, Membership: &m})
	r.Scheduler.MembershipChanged(now, m)
}

// TimerFired records that a timer went off.
func (r *Recorder) TimerFired(now time.Duration, key uint64) {
	r.event(Record{Kind: KindTimerFired, At: now, Key: key})
	r.Scheduler.TimerFired(now, key)
}

// StreamStarted records that an attempt began.
func (r *Recorder) StreamStarted(now time.Duration, id string, attempt int) {
	r.event(Record{Kind: KindStreamStarted, At: now, ID: id, Attempt: attempt})
	r.Scheduler.StreamStarted(now, id, attempt)
}

// Restore records what an earlier life had learned.
func (r *Recorder) Restore(now time.Duration, l scheduler.LearnedState) {
	r.event(Record{Kind: KindRestored, At: now, Learned: &l})
	r.Scheduler.Restore(now, l)
}

// Restrict records how carefully an operation is to be handled.
func (r *Recorder) Restrict(now time.Duration, c scheduler.Restriction) {
	r.event(Record{Kind: KindRestricted, At: now, Restriction: &c})
	r.Scheduler.Restrict(now, c)
}

// KindNote records what somebody else has to tell.
func (r *Recorder) Note(now time.Duration, text string) {
	r.add(Record{Kind: KindNote, At: now, Text: text})
}

// both records an action and hands it on.
type both struct {
	actionRecorder
	out scheduler.Actions
}

func (b both) Send(id, node string, timeout time.Duration) {
	b.actionRecorder.Send(id, node, timeout)
	b.out.Send(id, node, timeout)
}
func (b both) Cancel(id string, attempt int) {
	b.actionRecorder.Cancel(id, attempt)
	b.out.Cancel(id, attempt)
}
func (b both) Reject(id string, after time.Duration) {
	b.actionRecorder.Reject(id, after)
	b.out.Reject(id, after)
}
func (b both) Fail(id string)    { b.actionRecorder.Fail(id); b.out.Fail(id) }
func (b both) Probe(node string) { b.actionRecorder.Probe(node); b.out.Probe(node) }
func (b both) SetTimer(after time.Duration, key uint64) {
	b.actionRecorder.SetTimer(after, key)
	b.out.SetTimer(after, key)
}
func (b both) Watch()          { b.actionRecorder.Watch(); b.out.Watch() }
func (b both) Log(text string) { b.actionRecorder.Log(text); b.out.Log(text) }
