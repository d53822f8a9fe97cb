// Package simprotocol reads and writes the tab-separated lines of the simulator. It decides nothing.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"reachpulley/scheduler"
)

// Kind tells which fields of an Event are set.
type Kind int

// The kinds of Event.
const (
	Start      Kind = iota // Seed, Settings
	Stop                   // nothing more
	Members                // Membership
	Arrival                // Request
	Probed                 // Probe
	Began                  // Outcome: ID, Attempt, Node, Latency
	Left                   // ID
	Ended                  // Outcome
	TimerFired             // Timer
)

// Event is one thing that happened to one instance.
type Event struct {
	Kind       Kind
	Instance   int
	Seed       uint64
	Settings   scheduler.Settings
	Membership scheduler.Membership
	Request    scheduler.Request
	Probe      scheduler.ProbeResult
	ID         string
	Outcome    scheduler.Outcome
	Timer      uint64
}

// Batch is what happened at one time.
type Batch struct {
	Now    time.Duration
	Events []Event
}

const bankCount = 16

// Decoder reads batches.
type Decoder struct {
	r     *bufio.Reader
	line  int
	banks [bankCount][]scheduler.Node
	known [bankCount]bool
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<20)}
}

// Next reads one batch. It gives io.EOF where the input ends between batches; any other error names the
// line.
func (d *Decoder) Next() (Batch, error) {
	b, err := d.batch()
	if err != nil && err != io.EOF {
		err = fmt.Errorf("line %d: %w", d.line, err)
	}
	return b, err
}

func (d *Decoder) batch() (Batch, error) {
	var b Batch
	tag, f, err := d.read()
	if err == io.EOF && tag == "" {
		return b, io.EOF
	}
	if err != nil {
		return b, err
	}
	if tag != "round" {
		return b, fmt.Errorf("want round, got %q", tag)
	}
	b.Now = f.time("tsMs")
	if f.err != nil {
		return b, f.err
	}
	for {
		tag, f, err := d.read()
		if err == io.EOF {
			return b, errors.New("input ends within a batch")
		}
		if err != nil {
			return b, err
		}
		switch tag {
		case "flush":
			return b, nil
		case "catalog":
			if err := d.catalog(f); err != nil {
				return b, err
			}
			continue
		}
		e, known, err := d.event(tag, f)
		if err != nil {
			return b, fmt.Errorf("%s: %w", tag, err)
		}
		if known {
			b.Events = append(b.Events, e)
		}
	}
}

// read splits the next line into its tag and fields.
func (d *Decoder) read() (string, *fields, error) {
	text, err := d.r.ReadString('\n')
	if err == io.EOF && text != "" {
		err = errors.New("line without an end")
	}
	if err != nil {
		return "", nil, err
	}
	d.line++
	tag, rest, _ := strings.Cut(strings.TrimSuffix(text, "\n"), "\t")
	return tag, &fields{rest: rest}, nil
}

func (d *Decoder) bank(f *fields) (int, error) {
	n := f.integer("bank")
	if f.err == nil && (n < 0 || n >= bankCount) {
		return 0, fmt.Errorf("bank %d is out of range", n)
	}
	return int(n), f.err
}

func (d *Decoder) catalog(f *fields) error {
	bank, err := d.bank(f)
	count := f.integer("membersList")
	if err == nil {
		err = f.err
	}
	if err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	var nodes []scheduler.Node
	for i := int64(0); i < count; i++ {
		tag, f, err := d.read()
		if err == io.EOF || (err == nil && tag != "item") {
			return fmt.Errorf("catalog: want %d items, got %d", count, i)
		}
		if err != nil {
			return err
		}
		phase, ok := phaseWords[f.text("phase")]
		if !ok {
			return errors.New("item: unknown phase")
		}
		n := scheduler.Node{
			ID: f.word("node"), Zone: int(f.optional("locality", 0)), Shard: int(f.number("cluster")), Phase: phase,
			Size: f.optional("units", 1), StartedAt: millis(f.optional("cameUpMs", 0)),
		}
		if f.err != nil {
			return fmt.Errorf("item: %w", f.err)
		}
		nodes = append(nodes, n)
	}
	d.banks[bank], d.known[bank] = nodes, true
	return nil
}

var (
	phaseWords = map[string]scheduler.Phase{"up": scheduler.Up, "draining": scheduler.Draining, "removed": scheduler.Removed}
	listWords  = map[string]scheduler.MembershipKind{"remembered": scheduler.CachedList, "all": scheduler.FullList,
		"changes": scheduler.DeltaList, "refused": scheduler.WatchFailed}
	resultWords = map[string]scheduler.Result{
		"completed": scheduler.Served, "errored": scheduler.Errored, "saturated": scheduler.Overloaded,
		"overdue": scheduler.TimedOut, "refused_conn": scheduler.ConnectFailed, "severed": scheduler.ConnectionReset,
		"recalled": scheduler.Canceled, "superseded": scheduler.NotSent}
)

// event reads one event; an unknown tag is skipped.
func (d *Decoder) event(tag string, f *fields) (Event, bool, error) {
	var e Event
	switch tag {
	case "init":
		e.Kind, e.Seed = Start, f.unsigned("initSeed")
		s, err := ParseSettings([]byte(f.text("conf")))
		if err != nil {
			return e, false, err
		}
		e.Settings = s
	case "power_off":
		e.Kind = Stop
	case "announce":
		e.Kind = Members
		kind, ok := listWords[f.text("mode")]
		if !ok {
			return e, false, errors.New("unknown mode")
		}
		e.Membership.Kind = kind
		if kind != scheduler.WatchFailed {
			bank, err := d.bank(f)
			if err != nil {
				return e, false, err
			}
			if !d.known[bank] {
				return e, false, fmt.Errorf("bank %d was not declared", bank)
			}
			e.Membership.Nodes = d.banks[bank]
		}
	case "ingress":
		e.Kind = Arrival
		e.Request = scheduler.Request{
			ID: f.word("opId"), Class: int(f.integer("priority")), Plan: int(f.optional("serviceLevel", 0)),
			Volume: f.text("storeUser"), Key: f.text("blockKey"), Units: f.optional("costUnits", 1),
			Shard: int(f.optional("homeCell", scheduler.AnyShard)), ClientTimeout: f.time("patienceLeftMs"),
			Hosts: int(f.optional("hosts", 1)),
		}
	case "echo":
		e.Kind = Probed
		e.Probe = scheduler.ProbeResult{Node: f.word("node"), Served: f.text("status") == "completed",
			Latency: f.time("rttMs"), Load: f.load("stats")}
	case "ack_first":
		e.Kind = Began
		e.Outcome = f.attempt()
	case "vanished":
		e.Kind, e.ID = Left, f.word("opId")
	case "response":
		e.Kind = Ended
		e.Outcome = f.attempt()
		result, ok := resultWords[f.text("status")]
		if !ok {
			return e, false, fmt.Errorf("unknown status %q", f.text("status"))
		}
		e.Outcome.Result = result
		e.Outcome.Concluded = f.text("doneFlag") == "1"
		e.Outcome.VolumeUse = (f.optional("metered", 0) - 1) / 100
		e.Outcome.OtherUnits = f.optional("delta", 0)
		e.Outcome.Load = f.load("stats")
	case "alarm":
		e.Kind, e.Timer = TimerFired, f.unsigned("keyBack")
	default:
		return e, false, nil
	}
	e.Instance = int(f.integer("who"))
	return e, true, f.err
}

// fields are the name=value parts of a line. The first fault is kept in err.
type fields struct {
	rest string
	err  error
}

// text gives the value of a part, empty where it is absent.
func (f *fields) text(name string) string {
	rest := f.rest
	for rest != "" {
		var part string
		part, rest, _ = strings.Cut(rest, "\t")
		if k, v, ok := strings.Cut(part, "="); ok && k == name {
			return v
		}
	}
	return ""
}

func (f *fields) fault(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// word gives a value that must be there.
func (f *fields) word(name string) string {
	v := f.text(name)
	if v == "" {
		f.fault("%s is missing", name)
	}
	return v
}

func (f *fields) number(name string) float64 {
	v, err := strconv.ParseFloat(f.word(name), 64)
	if f.err == nil && (err != nil || math.IsNaN(v) || math.Abs(v) > 1e12) {
		f.fault("%s is not a usable number", name)
	}
	return v
}

func (f *fields) optional(name string, absent float64) float64 {
	if f.text(name) == "" {
		return absent
	}
	return f.number(name)
}

func (f *fields) integer(name string) int64 {
	v, err := strconv.ParseInt(f.word(name), 10, 64)
	if err != nil {
		f.fault("%s is not a whole number", name)
	}
	return v
}

func (f *fields) unsigned(name string) uint64 {
	v, err := strconv.ParseUint(f.word(name), 10, 64)
	if err != nil {
		f.fault("%s is not a whole number from 0", name)
	}
	return v
}

func (f *fields) time(name string) time.Duration { return millis(f.number(name)) }

func (f *fields) attempt() scheduler.Outcome {
	return scheduler.Outcome{ID: f.word("opId"), Attempt: int(f.integer("n")), Node: f.word("node"),
		Latency: f.time("rttMs"), VolumeUse: -1}
}

// load reads a report such as rif:7,q:3.
func (f *fields) load(name string) *scheduler.Load {
	text := f.text(name)
	if text == "" {
		return nil
	}
	l := &scheduler.Load{InFlight: -1, Queued: -1, Busy: -1}
	for _, pair := range strings.Split(text, ",") {
		k, v, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
			f.fault("%s: %q is not a usable number", name, v)
			return nil
		}
		switch k {
		case "rif":
			l.InFlight = x
		case "q":
			l.Queued = x
		case "busy":
			l.Busy = x
		}
	}
	return l
}
