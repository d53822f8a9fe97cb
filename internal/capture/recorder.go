package capture

import (
	"time"

	"reachpulley/decide"
)

// Recorder stands between whoever tells a Scheduler events and the Scheduler, and between the Scheduler and whoever carries its
// actions out. It keeps both in memory up to a bound, from the first event on; beyond it, it only counts what is lost. It is used by
// the Scheduler's own goroutine and never blocks.
type Recorder struct {
	Scheduler
	head  Head
	out   decide.Actions
	most  int
	bytes []byte // frames
	lost  int
}

// NewRecorder makes a Scheduler that is recorded. The program's version is kept for whoever reads the capture; most bounds the bytes
// that are kept.
func NewRecorder(settings decide.Settings, seed uint64, program string, most int, actions decide.Actions) (*Recorder, error) {
	r := &Recorder{head: Head{Version: Version, Program: program, Seed: seed, Settings: settings}, out: actions, most: most}
	s, err := decide.New(settings, seed, both{told{r.add}, actions})
	if err != nil {
		return nil, err
	}
	r.Scheduler = s
	return r, nil
}

// add keeps a record, or counts it: after the first that is lost, nothing more could be replayed.
func (r *Recorder) add(one Record) {
	if r.lost > 0 || len(r.bytes) >= r.most {
		r.lost++
		return
	}
	length := len(r.bytes)
	var err error
	if r.bytes, err = frame(r.bytes, one); err != nil || len(r.bytes) > r.most {
		r.bytes = r.bytes[:length]
		r.lost++
	}
}

// Kept is what a Recorder holds at a time. It costs nothing to take, as records are only ever added.
type Kept struct {
	head  Head
	bytes []byte
	lost  int
}

// Kept gives what is held.
func (r *Recorder) Kept() Kept { return Kept{r.head, r.bytes[:len(r.bytes):len(r.bytes)], r.lost} }

// File gives it as a file; a gap stands for what was lost.
func (k Kept) File() ([]byte, error) {
	out, err := frame([]byte(magic), k.head)
	if err != nil {
		return nil, err
	}
	out = append(out, k.bytes...)
	if k.lost > 0 {
		return frame(out, Record{Kind: Gap, Lost: k.lost})
	}
	return out, nil
}

// Arrived is as in decide.Scheduler, and so are the others.
func (r *Recorder) Arrived(now time.Duration, q decide.Request) {
	r.add(Record{Kind: Arrived, At: now, Request: &q})
	r.Scheduler.Arrived(now, q)
}

// Left records a client's leaving.
func (r *Recorder) Left(now time.Duration, id string) {
	r.add(Record{Kind: Left, At: now, ID: id})
	r.Scheduler.Left(now, id)
}

// Ended records an attempt's end.
func (r *Recorder) Ended(now time.Duration, o decide.Outcome) {
	r.add(Record{Kind: Ended, At: now, Outcome: &o})
	r.Scheduler.Ended(now, o)
}

// Probed records a probe's end.
func (r *Recorder) Probed(now time.Duration, p decide.ProbeResult) {
	r.add(Record{Kind: Probed, At: now, Probed: &p})
	r.Scheduler.Probed(now, p)
}

// Members records news of the list of nodes.
func (r *Recorder) Members(now time.Duration, m decide.Membership) {
	r.add(Record{Kind: Members, At: now, Members: &m})
	r.Scheduler.Members(now, m)
}

// Timer records that a timer went off.
func (r *Recorder) Timer(now time.Duration, key uint64) {
	r.add(Record{Kind: Timer, At: now, Key: key})
	r.Scheduler.Timer(now, key)
}

// Began records that an attempt began.
func (r *Recorder) Began(now time.Duration, id string, attempt int) {
	r.add(Record{Kind: Began, At: now, ID: id, Attempt: attempt})
	r.Scheduler.Began(now, id, attempt)
}

// both records an action and hands it on.
type both struct {
	told
	out decide.Actions
}

func (b both) Send(id, node string, timeout time.Duration) {
	b.told.Send(id, node, timeout)
	b.out.Send(id, node, timeout)
}
func (b both) Cancel(id string, attempt int) { b.told.Cancel(id, attempt); b.out.Cancel(id, attempt) }
func (b both) Refuse(id string, after time.Duration) {
	b.told.Refuse(id, after)
	b.out.Refuse(id, after)
}
func (b both) Fail(id string)    { b.told.Fail(id); b.out.Fail(id) }
func (b both) Probe(node string) { b.told.Probe(node); b.out.Probe(node) }
func (b both) SetTimer(after time.Duration, key uint64) {
	b.told.SetTimer(after, key)
	b.out.SetTimer(after, key)
}
func (b both) Watch()          { b.told.Watch(); b.out.Watch() }
func (b both) Fetch()          { b.told.Fetch(); b.out.Fetch() }
func (b both) Log(text string) { b.told.Log(text); b.out.Log(text) }
