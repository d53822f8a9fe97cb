// Package timeline tells in words what a capture holds of one request, and how things stood at a time.
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

// Clock words times: of the wall clock where the capture tells its origin, otherwise of the Scheduler's.
type Clock struct{ origin time.Time }

// ClockFor gives the clock of a capture.
func ClockFor(h *capture.Head) Clock {
	if h.Origin == 0 {
		return Clock{}
	}
	return Clock{time.Unix(0, h.Origin)}
}

// Format words a time.
func (c Clock) Format(at time.Duration) string {
	if c.origin.IsZero() {
		return at.String()
	}
	return c.origin.Add(at).UTC().Format("2006-01-02 15:04:05.000")
}

// Parse reads a time: a duration of the Scheduler's clock, a whole time, or a time of day (UTC) on the first day on which the
// capture reaches it.
func (c Clock) Parse(text string, begin time.Duration) (time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d, nil
	}
	if c.origin.IsZero() {
		return 0, fmt.Errorf("%q is no duration, and the capture does not tell when it was recorded", text)
	}
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02 15:04:05", "2006-01-02 15:04"} {
		if t, err := time.Parse(layout, text); err == nil {
			return t.Sub(c.origin), nil
		}
	}
	for _, layout := range []string{"15:04:05", "15:04"} {
		t, err := time.Parse(layout, text)
		if err != nil {
			continue
		}
		from := c.origin.Add(begin).UTC()
		at := time.Date(from.Year(), from.Month(), from.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
		if at.Before(from) {
			at = at.AddDate(0, 0, 1)
		}
		return at.Sub(c.origin), nil
	}
	return 0, fmt.Errorf("%q is neither a duration (1h0m2s), nor a time (2026-12-01 07:00:03), nor a time of day (07:00:03)", text)
}

// ErrUnknown says that a capture holds nothing of a request.
var ErrUnknown = errors.New("the capture holds nothing of this request")

// teller tells the story of one request.
type teller struct {
	w       io.Writer
	id      string
	clock   Clock
	set     scheduler.Settings
	came    time.Duration
	request *scheduler.Request
	timer   uint64 // of its patience
	sends   int
	lines   int
}

// WriteRequest tells the story of a request: when it came, what it waited for, why this node, why again, why turned away. The source is read
// twice: first for the events that concern it, then for the states before them.
func WriteRequest(source io.ReadSeeker, id string, w io.Writer) error {
	concerns, err := concerning(source, id)
	if err != nil {
		return err
	}
	if len(concerns) == 0 {
		return ErrUnknown
	}
	if _, err := source.Seek(0, io.SeekStart); err != nil {
		return err
	}
	c, err := capture.NewReader(source)
	if err != nil {
		return err
	}
	t := &teller{w: w, id: id, clock: ClockFor(&c.Head), set: c.Head.Settings}
	p := capture.NewPlayer(c)
	for len(concerns) > 0 {
		number, err := p.Upcoming()
		if err != nil {
			return err
		}
		var before *scheduler.Snapshot
		if number == concerns[0] {
			before, concerns = p.Scheduler().Snapshot(), concerns[1:]
		}
		step, err := p.Next()
		if err != nil {
			return err
		}
		if before != nil {
			t.step(step, before)
		}
	}
	if t.lines == 0 { // a client left that nobody had told of
		return ErrUnknown
	}
	return nil
}

// concerning gives the numbers of the events that are about a request or called for something about it.
func concerning(source io.Reader, id string) (numbers []uint64, err error) {
	c, err := capture.NewReader(source)
	if err != nil {
		return nil, err
	}
	p := capture.NewPlayer(c)
	for {
		step, err := p.Next()
		if errors.Is(err, io.EOF) {
			return numbers, nil
		}
		if err != nil {
			return nil, err
		}
		if about(step.Event, id) || slices.ContainsFunc(step.Actions, func(a capture.Record) bool { return about(&a, id) }) {
			numbers = append(numbers, step.Number)
		}
	}
}

func about(r *capture.Record, id string) bool {
	return r.ID == id || r.Request != nil && r.Request.ID == id || r.Outcome != nil && r.Outcome.ID == id
}

func (t *teller) say(at time.Duration, format string, args ...any) {
	since := ""
	if t.request != nil {
		since = fmt.Sprintf(" (+%v)", (at - t.came).Round(time.Millisecond))
	}
	fmt.Fprintf(t.w, "%s%s  %s\n", t.clock.Format(at), since, fmt.Sprintf(format, args...))
	t.lines++
}

func (t *teller) step(step *capture.Step, before *scheduler.Snapshot) {
	e := step.Event
	if t.request == nil {
		for i := range before.Requests { // it came before the capture begins
			if r := &before.Requests[i]; r.Request.ID == t.id {
				t.request, t.came, t.sends = &r.Request, r.ArrivedAt, r.Attempts
				t.say(r.ArrivedAt, "It came before the capture begins: %s.", t.words(&r.Request))
			}
		}
	}
	switch {
	case e.Kind == capture.KindRequestArrived && e.Request.ID == t.id:
		t.request, t.came = e.Request, e.At
		t.say(e.At, "It came: %s.", t.words(e.Request))
		t.choices(before, e.At)
	case e.Kind == capture.KindClientDisconnected && e.ID == t.id && t.request != nil:
		t.say(e.At, "Its client left.")
	case e.Kind == capture.KindStreamStarted && e.ID == t.id:
		t.say(e.At, "Its answer began to stream.")
	case e.Kind == capture.KindAttemptEnded && e.Outcome.ID == t.id:
		t.ended(e)
	}
	for i := range step.Actions {
		if a := &step.Actions[i]; a.ID == t.id {
			t.action(a, step, before)
		}
	}
	if e.Kind == capture.KindRequestArrived && e.Request.ID == t.id && !slices.ContainsFunc(step.Actions, func(a capture.Record) bool { return a.ID == t.id }) {
		t.say(e.At, "It was not sent at once; it waits.")
	}
}

func (t *teller) words(q *scheduler.Request) string {
	plan := "no plan"
	if q.Plan >= 0 && q.Plan < len(t.set.Plans) {
		plan = "plan " + t.set.Plans[q.Plan].Name
	}
	class := "an unknown class"
	if q.Class >= 0 && q.Class < len(t.set.Classes) {
		class = "class " + t.set.Classes[q.Class].Name
	}
	where := fmt.Sprintf("shard %d", q.Shard)
	if q.Shard == scheduler.AnyShard {
		where = "any shard"
	}
	return fmt.Sprintf("%s, %s, volume %s, %g units, %s, its client waits %v", class, plan, q.Volume, q.Units, where, q.ClientTimeout)
}

var results = map[scheduler.Result]string{scheduler.Served: "was served", scheduler.Errored: "ended with an error of the node; it may have run",
	scheduler.Overloaded: "was turned away unseen, as the node was full", scheduler.TimedOut: "got no answer in time; it may have run",
	scheduler.ConnectFailed: "found no connection; it never ran", scheduler.ConnectionReset: "lost its connection; it may have run",
	scheduler.Canceled: "was withdrawn; it may have run", scheduler.NotSent: "was not sent any more"}

func (t *teller) ended(e *capture.Record) {
	o := e.Outcome
	done := ""
	if o.Concluded {
		done = "; that concludes the request"
	}
	t.say(e.At, "Attempt %d at %s %s, after %v%s.", o.Attempt+1, o.Node, results[o.Result], o.Latency.Round(time.Millisecond), done)
}

func (t *teller) action(a *capture.Record, step *capture.Step, before *scheduler.Snapshot) {
	at := step.Event.At
	switch a.Kind {
	case capture.KindSend:
		t.sends++
		because := "when it came"
		if !about(step.Event, t.id) {
			because = fmt.Sprintf("at the event %q%s", step.Event.Kind, of(step.Event))
		}
		t.say(at, "Attempt %d left for %s, %s.", t.sends, a.Node, because)
		t.place(before)
	case capture.KindCancel:
		t.say(at, "Attempt %d was withdrawn.", a.Attempt+1)
	case capture.KindReject:
		t.say(at, "It was refused; its client may come again after %v.", a.Duration.Round(time.Millisecond))
		t.place(before)
		t.choices(before, at)
	case capture.KindFail:
		t.say(at, "It was failed: no promise was made.")
		t.place(before)
		t.choices(before, at)
	}
}

func of(e *capture.Record) string {
	if e.Outcome != nil {
		return fmt.Sprintf(" of request %s at %s", e.Outcome.ID, e.Outcome.Node)
	}
	return ""
}

var tierNames = [...]string{"within its volume's reserve", "beyond its volume's reserve"}

// place tells where the request stood before the event.
func (t *teller) place(s *scheduler.Snapshot) {
	i := slices.IndexFunc(s.Requests, func(r scheduler.SnapshotRequest) bool { return r.Request.ID == t.id })
	if i < 0 {
		return
	}
	r := &s.Requests[i]
	left := fmt.Sprintf("its aim is in %v, its end in %v", (r.ObjectiveAt - s.Now).Round(time.Millisecond), (r.AnswerBy - s.Now).Round(time.Millisecond))
	switch {
	case len(r.InFlight) > 0:
		fmt.Fprintf(t.w, "    before: attempt %d is out at %s for %v; %s\n", r.InFlight[0].Number+1, s.Nodes[r.InFlight[0].Node].Node.ID,
			(s.Now - r.InFlight[0].SentAt).Round(time.Millisecond), left)
	case r.Node >= 0:
		n := &s.Nodes[r.Node]
		fmt.Fprintf(t.w, "    before: place %d of %d waiting for %s, %s, tag %.2f; %s\n", slices.Index(n.Waiting, i)+1, len(n.Waiting), n.Node.ID,
			tierNames[r.Tier], r.Tag, left)
	default:
		fmt.Fprintf(t.w, "    before: no node may take it; %s\n", left)
	}
}

// choices tells how the nodes that have its data stood before the event.
func (t *teller) choices(s *scheduler.Snapshot, at time.Duration) {
	copied := *s
	copied.Now = max(s.Now, at)
	one, err := scheduler.Resume(t.set, &copied, capture.RecordActions(func(capture.Record) {}))
	if err != nil {
		fmt.Fprintf(t.w, "    %v\n", err)
		return
	}
	all := one.Explain(*t.request)
	all = slices.DeleteFunc(all, func(c scheduler.Candidate) bool { return c.BlockedBy == "it has not the data" })
	slices.SortStableFunc(all, func(a, b scheduler.Candidate) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Expected, b.Expected))
	})
	out := tabwriter.NewWriter(t.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "    node\texpected\tqueue\town\tout\twaiting\tcap\tbarred")
	for _, c := range all {
		fmt.Fprintf(out, "    %s\t%v\t%v\t%v\t%.1f\t%.1f\t%.1f\t%s\n", c.Node, c.Expected.Round(time.Millisecond), max(0, c.Queue).Round(time.Millisecond),
			c.ServiceTime.Round(time.Millisecond), c.InFlight, c.Waiting, c.Cap, strings.TrimSpace(c.BlockedBy))
	}
	out.Flush()
}

var phases = [...]string{"up", "draining", "removed"}

// Only says which nodes and volumes are told of, by name; an empty list is none of them.
type Only struct{ Nodes, Volumes []string }

// WriteContext words what is about a difference: the state of the request, the node and the volume that it is about.
func WriteContext(s *scheduler.Snapshot, clock Clock, set scheduler.Settings, d *capture.Difference, w io.Writer) error {
	var ids []string
	only := &Only{}
	for _, r := range []*capture.Record{d.Input, d.Recorded, d.Replayed} {
		if r == nil {
			continue
		}
		if r.Outcome != nil {
			ids, only.Nodes = append(ids, r.Outcome.ID), append(only.Nodes, r.Outcome.Node)
		}
		if r.Request != nil {
			ids, only.Volumes = append(ids, r.Request.ID), append(only.Volumes, r.Request.Volume)
		}
		ids, only.Nodes = append(ids, r.ID), append(only.Nodes, r.Node)
	}
	for i := range s.Requests {
		r := &s.Requests[i]
		if !slices.Contains(ids, r.Request.ID) {
			continue
		}
		only.Volumes = append(only.Volumes, r.Request.Volume)
		if r.Node >= 0 {
			only.Nodes = append(only.Nodes, s.Nodes[r.Node].Node.ID)
		}
		t := teller{w: w, id: r.Request.ID, clock: clock, set: set}
		fmt.Fprintf(w, "request %s: %s\n", r.Request.ID, t.words(&r.Request))
		t.place(s)
	}
	return WriteState(s, clock, set, only, w)
}

// WriteState words a snapshot: a table of the nodes, then of the volumes; only those that are asked for, or all where only is nil.
func WriteState(s *scheduler.Snapshot, clock Clock, set scheduler.Settings, only *Only, w io.Writer) error {
	fmt.Fprintf(w, "%s: %d requests are open, %d of them without a node\n", clock.Format(s.Now), len(s.Requests), len(s.Unassigned))
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "node\tphase\tshard\tcap\tout\tattempts\twaiting\tlatency\tunloaded\tqueue\trate\tfailures\theld for\tcold for")
	for _, n := range s.Nodes[:s.Listed] {
		if only != nil && !slices.Contains(only.Nodes, n.Node.ID) {
			continue
		}
		waiting := 0.0
		for _, i := range n.Waiting {
			waiting += s.Requests[i].Request.Units
		}
		cold := time.Duration(0)
		if n.WarmingSince > 0 {
			cold = max(0, set.Rules.SlowStartDuration-(s.Now-n.WarmingSince))
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%.1f\t%.1f\t%d\t%.1f\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f/s\t%d\t%v\t%v\n", n.Node.ID, phases[min(int(n.Node.Phase), len(phases)-1)],
			n.Node.Shard, n.Cap, n.UnitsInFlight, n.AttemptsInFlight, waiting, n.Latency*1000, n.MinLatency*1000, n.Queue*1000, n.MaxRate, n.Failures,
			max(0, n.BackoffUntil-s.Now).Round(time.Millisecond), cold.Round(time.Millisecond))
	}
	fmt.Fprintln(out, "\nvolume\tplan\tserved\treserve\treserve rate\tlimit\tlimit rate\topen\t\t\t\t\t\t")
	open := map[int]int{}
	for _, r := range s.Requests {
		open[r.Volume]++
	}
	for i, v := range s.Volumes {
		if only != nil && !slices.Contains(only.Volumes, v.Name) {
			continue
		}
		plan := ""
		if v.Plan >= 0 && v.Plan < len(set.Plans) {
			plan = set.Plans[v.Plan].Name
		}
		fmt.Fprintf(out, "%s\t%s\t%.1f/s\t%.1f\t%.1f/s\t%.1f\t%.1f/s\t%d\t\t\t\t\t\t\n", v.Name, plan, v.OwnUnits, v.Reserve.Tokens, v.Reserve.Rate, v.Limit.Tokens, v.Limit.Rate, open[i])
	}
	return out.Flush()
}
