package capture

import (
	"time"

	"reachpulley/scheduler"
)

// RequestArrived records the arrival of a request, then calls the Scheduler's RequestArrived.
func (r *Recorder) RequestArrived(now time.Duration, request scheduler.Request) {
	r.request = request
	r.addEvent(Record{Kind: KindRequestArrived, At: now, Request: &r.request})
	r.Scheduler.RequestArrived(now, request)
}

// ClientDisconnected records that a client disconnected, then calls the Scheduler's ClientDisconnected.
func (r *Recorder) ClientDisconnected(now time.Duration, id string) {
	r.addEvent(Record{Kind: KindClientDisconnected, At: now, ID: id})
	r.Scheduler.ClientDisconnected(now, id)
}

// AttemptEnded records the outcome of an attempt, then calls the Scheduler's AttemptEnded.
func (r *Recorder) AttemptEnded(now time.Duration, outcome scheduler.Outcome) {
	r.outcome = outcome
	r.addEvent(Record{Kind: KindAttemptEnded, At: now, Outcome: &r.outcome})
	r.Scheduler.AttemptEnded(now, outcome)
}

// ProbeEnded records the result of a probe, then calls the Scheduler's ProbeEnded.
func (r *Recorder) ProbeEnded(now time.Duration, result scheduler.ProbeResult) {
	r.addEvent(Record{Kind: KindProbeEnded, At: now, ProbeResult: &result})
	r.Scheduler.ProbeEnded(now, result)
}

// MembershipChanged records a change of the endpoint list, then calls the Scheduler's MembershipChanged.
func (r *Recorder) MembershipChanged(now time.Duration, membership scheduler.Membership) {
	r.addEvent(Record{Kind: KindMembershipChanged, At: now, Membership: &membership})
	r.Scheduler.MembershipChanged(now, membership)
}

// TimerFired records that a timer fired, then calls the Scheduler's TimerFired.
func (r *Recorder) TimerFired(now time.Duration, key uint64) {
	r.addEvent(Record{Kind: KindTimerFired, At: now, Key: key})
	r.Scheduler.TimerFired(now, key)
}

// StreamStarted records that the response of an attempt started to stream, then calls the Scheduler's
// StreamStarted.
func (r *Recorder) StreamStarted(now time.Duration, id string, attempt int) {
	r.addEvent(Record{Kind: KindStreamStarted, At: now, ID: id, Attempt: attempt})
	r.Scheduler.StreamStarted(now, id, attempt)
}

// Restore records the learned state of the previous incarnation, then calls the Scheduler's Restore.
func (r *Recorder) Restore(now time.Duration, learned scheduler.LearnedState) {
	r.addEvent(Record{Kind: KindRestored, At: now, Learned: &learned})
	r.Scheduler.Restore(now, learned)
}

// Restrict records a restriction of an operation, then calls the Scheduler's Restrict.
func (r *Recorder) Restrict(now time.Duration, restriction scheduler.Restriction) {
	r.addEvent(Record{Kind: KindRestricted, At: now, Restriction: &restriction})
	r.Scheduler.Restrict(now, restriction)
}

// Note records a remark of another component. The Scheduler does not see it.
func (r *Recorder) Note(now time.Duration, text string) {
	r.add(Record{Kind: KindNote, At: now, Text: text})
}
