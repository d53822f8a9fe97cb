package capture

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Scheduler is the receiver of events. *scheduler.Scheduler and *Recorder implement it.
type Scheduler interface {
	RequestArrived(now time.Duration, request scheduler.Request)
	ClientDisconnected(now time.Duration, id string)
	AttemptEnded(now time.Duration, outcome scheduler.Outcome)
	ProbeEnded(now time.Duration, result scheduler.ProbeResult)
	MembershipChanged(now time.Duration, membership scheduler.Membership)
	TimerFired(now time.Duration, key uint64)
	StreamStarted(now time.Duration, id string, attempt int)
	Restore(now time.Duration, learned scheduler.LearnedState)
	Restrict(now time.Duration, restriction scheduler.Restriction)
}

// Apply gives a recorded event to a Scheduler. It fails if the record is not an event or lacks the field that its kind
// needs.
func Apply(s Scheduler, event *Record) error {
	switch {
	case event.Kind == KindRequestArrived && event.Request != nil:
		s.RequestArrived(event.At, *event.Request)
	case event.Kind == KindClientDisconnected:
		s.ClientDisconnected(event.At, event.ID)
	case event.Kind == KindAttemptEnded && event.Outcome != nil:
		s.AttemptEnded(event.At, *event.Outcome)
	case event.Kind == KindProbeEnded && event.ProbeResult != nil:
		s.ProbeEnded(event.At, *event.ProbeResult)
	case event.Kind == KindMembershipChanged && event.Membership != nil:
		s.MembershipChanged(event.At, *event.Membership)
	case event.Kind == KindTimerFired:
		s.TimerFired(event.At, event.Key)
	case event.Kind == KindStreamStarted:
		s.StreamStarted(event.At, event.ID, event.Attempt)
	case event.Kind == KindRestored && event.Learned != nil:
		s.Restore(event.At, *event.Learned)
	case event.Kind == KindRestricted && event.Restriction != nil:
		s.Restrict(event.At, *event.Restriction)
	default:
		return fmt.Errorf("capture: record of kind %q is not an event or lacks its data", event.Kind)
	}
	return nil
}
