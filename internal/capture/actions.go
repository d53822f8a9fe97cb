package capture

import (
	"time"

	"reachpulley/scheduler"
)

// RecordActions returns Actions that pass each action to add as a record.
func RecordActions(add func(Record)) scheduler.Actions { return actionRecorder{add} }

// actionRecorder implements scheduler.Actions. It passes each action to add as a record.
type actionRecorder struct{ add func(Record) }

func (a actionRecorder) Send(id, node string, timeout time.Duration) {
	a.add(Record{Kind: KindSend, ID: id, Node: node, Duration: timeout})
}

func (a actionRecorder) Cancel(id string, attempt int) {
	a.add(Record{Kind: KindCancel, ID: id, Attempt: attempt})
}

func (a actionRecorder) Reject(id string, retryAfter time.Duration) {
	a.add(Record{Kind: KindReject, ID: id, Duration: retryAfter})
}

func (a actionRecorder) Fail(id string) {
	a.add(Record{Kind: KindFail, ID: id})
}

func (a actionRecorder) Probe(node string) {
	a.add(Record{Kind: KindProbe, Node: node})
}

func (a actionRecorder) SetTimer(after time.Duration, key uint64) {
	a.add(Record{Kind: KindSetTimer, Duration: after, Key: key})
}

func (a actionRecorder) Watch() {
	a.add(Record{Kind: KindWatch})
}

func (a actionRecorder) Log(text string) {
	a.add(Record{Kind: KindLog, Text: text})
}

// recordedActions implements scheduler.Actions. It records each action, then passes it on to be carried out.
type recordedActions struct {
	actionRecorder
	next scheduler.Actions
}

func (a recordedActions) Send(id, node string, timeout time.Duration) {
	a.actionRecorder.Send(id, node, timeout)
	a.next.Send(id, node, timeout)
}

func (a recordedActions) Cancel(id string, attempt int) {
	a.actionRecorder.Cancel(id, attempt)
	a.next.Cancel(id, attempt)
}

func (a recordedActions) Reject(id string, retryAfter time.Duration) {
	a.actionRecorder.Reject(id, retryAfter)
	a.next.Reject(id, retryAfter)
}

func (a recordedActions) Fail(id string) {
	a.actionRecorder.Fail(id)
	a.next.Fail(id)
}

func (a recordedActions) Probe(node string) {
	a.actionRecorder.Probe(node)
	a.next.Probe(node)
}

func (a recordedActions) SetTimer(after time.Duration, key uint64) {
	a.actionRecorder.SetTimer(after, key)
	a.next.SetTimer(after, key)
}

func (a recordedActions) Watch() {
	a.actionRecorder.Watch()
	a.next.Watch()
}

func (a recordedActions) Log(text string) {
	a.actionRecorder.Log(text)
	a.next.Log(text)
}
