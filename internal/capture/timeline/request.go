// Package timeline describes what a capture holds about one request, and the state of the Scheduler at one time, as
// text for operators.
package timeline

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/scheduler"
)

// ErrRequestNotFound says that a capture holds no record of a request.
var ErrRequestNotFound = errors.New("timeline: the capture holds no record of the request")

// WriteRequest writes the timeline of a request: when it arrived, what it waited for, to which nodes it was sent
// and why, and how it ended. It reads the source twice: first for the events that concern the request, then for the
// states before them.
func WriteRequest(source io.ReadSeeker, id string, out io.Writer) error {
	events, err := findEvents(source, id)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return fmt.Errorf("%w %q", ErrRequestNotFound, id)
	}
	if _, err := source.Seek(0, io.SeekStart); err != nil {
		return err
	}
	reader, err := capture.NewReader(source)
	if err != nil {
		return err
	}
	w := &requestWriter{
		out:      out,
		id:       id,
		clock:    ClockFor(&reader.Head),
		settings: reader.Head.Settings,
	}
	if err := w.writeEvents(capture.NewPlayer(reader), events); err != nil {
		return err
	}
	if w.lines == 0 { // the only event is a disconnect of a client whose request never arrived
		return fmt.Errorf("%w %q", ErrRequestNotFound, id)
	}
	return nil
}

// findEvents returns the numbers of the events that are about a request or led to an action for it.
func findEvents(source io.Reader, id string) (numbers []uint64, err error) {
	reader, err := capture.NewReader(source)
	if err != nil {
		return nil, err
	}
	player := capture.NewPlayer(reader)
	for {
		step, err := player.Next()
		if errors.Is(err, io.EOF) {
			return numbers, nil
		}
		if err != nil {
			return nil, err
		}
		if isAbout(step.Event, id) || hasActionFor(step, id) {
			numbers = append(numbers, step.Number)
		}
	}
}

func isAbout(r *capture.Record, id string) bool {
	return r.ID == id || r.Request != nil && r.Request.ID == id || r.Outcome != nil && r.Outcome.ID == id
}

func hasActionFor(step *capture.Step, id string) bool {
	return slices.ContainsFunc(step.Actions, func(action capture.Record) bool { return action.ID == id })
}

// requestWriter writes the timeline of one request.
type requestWriter struct {
	out       io.Writer
	id        string
	clock     Clock
	settings  scheduler.Settings
	request   *scheduler.Request // nil until its arrival is known
	arrivedAt time.Duration
	sends     int // number of attempts that were sent so far
	lines     int // number of lines that were written
}

// writeEvents replays a capture up to the last of the events with these numbers, and writes each of them.
func (w *requestWriter) writeEvents(player *capture.Player, events []uint64) error {
	for len(events) > 0 {
		number, err := player.NextEventNumber()
		if err != nil {
			return err
		}
		var before *scheduler.Snapshot
		if number == events[0] {
			before = player.Scheduler().Snapshot()
			events = events[1:]
		}
		step, err := player.Next()
		if err != nil {
			return err
		}
		if before != nil {
			w.writeStep(step, before)
		}
	}
	return nil
}

// writeLine writes a line that begins with the time and, if the arrival is known, with the time since the arrival.
func (w *requestWriter) writeLine(at time.Duration, format string, args ...any) {
	sinceArrival := ""
	if w.request != nil {
		sinceArrival = fmt.Sprintf(" (+%v)", roundMS(at-w.arrivedAt))
	}
	fmt.Fprintf(w.out, "%s%s  %s\n", w.clock.Format(at), sinceArrival, fmt.Sprintf(format, args...))
	w.lines++
}

// writeStep writes what an event and its actions meant for the request; before is the state before the event.
func (w *requestWriter) writeStep(step *capture.Step, before *scheduler.Snapshot) {
	if w.request == nil {
		w.writeEarlierArrival(before)
	}
	w.writeEvent(step.Event, before)
	for i := range step.Actions {
		if step.Actions[i].ID == w.id {
			w.writeAction(&step.Actions[i], step, before)
		}
	}
	if w.isArrival(step.Event) && !hasActionFor(step, w.id) {
		w.writeLine(step.Event.At, "Not sent at once; waiting.")
	}
}

func (w *requestWriter) isArrival(event *capture.Record) bool {
	return event.Kind == capture.KindRequestArrived && event.Request.ID == w.id
}

// writeEarlierArrival writes the arrival of a request whose arrival is not in the capture: the request was already
// open in the snapshot with which the capture began or resumed after a gap.
func (w *requestWriter) writeEarlierArrival(before *scheduler.Snapshot) {
	for i := range before.Requests {
		open := &before.Requests[i]
		if open.Request.ID != w.id {
			continue
		}
		w.request = &open.Request
		w.arrivedAt = open.ArrivedAt
		w.sends = open.Attempts
		w.writeLine(open.ArrivedAt, "Arrived before the capture begins: %s.",
			describeRequest(&open.Request, w.settings))
	}
}

func (w *requestWriter) writeEvent(event *capture.Record, before *scheduler.Snapshot) {
	switch {
	case w.isArrival(event):
		w.request = event.Request
		w.arrivedAt = event.At
		w.writeLine(event.At, "Arrived: %s.", describeRequest(event.Request, w.settings))
		w.writeCandidates(before, event.At)
	case event.Kind == capture.KindClientDisconnected && event.ID == w.id && w.request != nil:
		w.writeLine(event.At, "Client disconnected.")
	case event.Kind == capture.KindStreamStarted && event.ID == w.id:
		w.writeLine(event.At, "The response started to stream.")
	case event.Kind == capture.KindAttemptEnded && event.Outcome.ID == w.id:
		w.writeAttemptEnd(event)
	}
}

// describeRequest describes the class, plan, volume, size, shard and timeout of a request.
func describeRequest(request *scheduler.Request, settings scheduler.Settings) string {
	plan := "no plan"
	if request.Plan >= 0 && request.Plan < len(settings.Plans) {
		plan = "plan " + settings.Plans[request.Plan].Name
	}
	class := "an unknown class"
	if request.Class >= 0 && request.Class < len(settings.Classes) {
		class = "class " + settings.Classes[request.Class].Name
	}
	shard := fmt.Sprintf("shard %d", request.Shard)
	if request.Shard == scheduler.AnyShard {
		shard = "any shard"
	}
	return fmt.Sprintf("%s, %s, volume %s, %g units, %s, client timeout %v",
		class, plan, request.Volume, request.Units, shard, request.ClientTimeout)
}

var resultTexts = map[scheduler.Result]string{
	scheduler.Served:          "was served",
	scheduler.Errored:         "ended with an error of the node, and may have run",
	scheduler.Overloaded:      "was rejected by the overloaded node, and never ran",
	scheduler.TimedOut:        "timed out, and may have run",
	scheduler.ConnectFailed:   "could not connect, and never ran",
	scheduler.ConnectionReset: "lost its connection, and may have run",
	scheduler.Canceled:        "was canceled, and may have run",
	scheduler.NotSent:         "was not sent, and never ran",
}

func (w *requestWriter) writeAttemptEnd(event *capture.Record) {
	outcome := event.Outcome
	concluded := ""
	if outcome.Concluded {
		concluded = "; this concludes the request"
	}
	w.writeLine(event.At, "Attempt %d at %s %s, after %v%s.",
		outcome.Attempt+1, outcome.Node, resultTexts[outcome.Result], roundMS(outcome.Latency), concluded)
}

func (w *requestWriter) writeAction(action *capture.Record, step *capture.Step, before *scheduler.Snapshot) {
	at := step.Event.At
	switch action.Kind {
	case capture.KindSend:
		w.sends++
		w.writeLine(at, "Attempt %d sent to %s%s.", w.sends, action.Node, w.describeCause(step.Event))
		writePosition(w.out, before, w.id)
	case capture.KindCancel:
		w.writeLine(at, "Attempt %d canceled.", action.Attempt+1)
	case capture.KindReject:
		w.writeLine(at, "Rejected, with Retry-After %v.", roundMS(action.Duration))
		writePosition(w.out, before, w.id)
		w.writeCandidates(before, at)
	case capture.KindFail:
		w.writeLine(at, "Failed; a retry may not be safe.")
		writePosition(w.out, before, w.id)
		w.writeCandidates(before, at)
	}
}

// describeCause names the event that led to the sending of an attempt. It returns an empty text if that event is about
// the request itself.
func (w *requestWriter) describeCause(event *capture.Record) string {
	if isAbout(event, w.id) {
		return ""
	}
	cause := fmt.Sprintf(" at the event %q", event.Kind)
	if event.Outcome != nil {
		cause += fmt.Sprintf(" of request %s at %s", event.Outcome.ID, event.Outcome.Node)
	}
	return cause
}

// writeCandidates writes a table of the nodes that hold the request's data. It shows them in the state before the event
// that took place at the time at.
func (w *requestWriter) writeCandidates(before *scheduler.Snapshot, at time.Duration) {
	state := *before
	state.Now = max(before.Now, at)
	discard := capture.RecordActions(func(capture.Record) {})
	resumed, err := scheduler.Resume(w.settings, &state, discard)
	if err != nil {
		fmt.Fprintf(w.out, "    %v\n", err)
		return
	}
	candidates := slices.DeleteFunc(resumed.Explain(*w.request), func(c scheduler.Candidate) bool {
		return !holdsData(before, c.Node, w.request)
	})
	slices.SortStableFunc(candidates, func(a, b scheduler.Candidate) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.ExpectedWait, b.ExpectedWait))
	})
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "    node\texpected\tqueue\tservice time\tin flight\twaiting\tconcurrency limit\tblocked by")
	for _, c := range candidates {
		fmt.Fprintf(table, "    %s\t%v\t%v\t%v\t%.1f\t%.1f\t%.1f\t%s\n",
			c.Node,
			roundMS(c.ExpectedWait),
			roundMS(max(0, c.QueueTime)),
			roundMS(c.ServiceTime),
			c.InFlight,
			c.Waiting,
			c.ConcurrencyLimit,
			strings.TrimSpace(c.BlockedBy))
	}
	table.Flush()
}

// holdsData reports whether a listed node holds the data of a request. If the state holds a request with the same ID,
// the shard of that one is used, as Scheduler.Explain does.
func holdsData(state *scheduler.Snapshot, nodeID string, request *scheduler.Request) bool {
	shard := request.Shard
	if i := findRequest(state, request.ID); i >= 0 {
		shard = state.Requests[i].Request.Shard
	}
	if shard == scheduler.AnyShard {
		return true
	}
	return slices.ContainsFunc(state.Nodes[:state.Listed], func(n scheduler.SnapshotNode) bool {
		return n.Node.ID == nodeID && n.Node.Shard == shard
	})
}

// findRequest returns the index of a request in a state, or -1.
func findRequest(state *scheduler.Snapshot, id string) int {
	return slices.IndexFunc(state.Requests, func(r scheduler.SnapshotRequest) bool { return r.Request.ID == id })
}

func roundMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
