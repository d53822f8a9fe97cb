package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"reachpulley/scheduler"
)

// listCount is the number of endpoint lists that the simulator may declare. The protocol calls them banks.
const listCount = 16

// Decoder reads batches of events.
type Decoder struct {
	reader     *bufio.Reader
	lineNumber int
	lists      [listCount]endpointList
}

// endpointList is one of the numbered endpoint lists. Events can only refer to a list that was declared before them.
type endpointList struct {
	declared bool
	nodes    []scheduler.Node
}

// NewDecoder makes a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, bufferSize)}
}

// Next reads one batch. Its error is io.EOF if no batch is left; any other error names the line.
func (d *Decoder) Next() (Batch, error) {
	batch, err := d.readBatch()
	if err != nil && err != io.EOF {
		err = fmt.Errorf("line %d: %w", d.lineNumber, err)
	}
	return batch, err
}

func (d *Decoder) readBatch() (Batch, error) {
	var batch Batch
	tag, fields, err := d.readLine()
	if err != nil {
		return batch, err
	}
	if tag != "round" {
		return batch, fmt.Errorf("want tag \"round\" at the beginning of a batch, got %q", tag)
	}
	batch.Now = fields.duration("tsMs")
	if fields.err != nil {
		return batch, fields.err
	}
	for {
		tag, fields, err := d.readLine()
		if err == io.EOF {
			return batch, errors.New("input ends within a batch")
		}
		if err != nil {
			return batch, err
		}
		switch tag {
		case "flush":
			return batch, nil
		case "catalog":
			if err := d.declareList(fields); err != nil {
				return batch, err
			}
			continue
		}
		decode, known := eventDecoders[tag]
		if !known {
			continue
		}
		batch.Events = append(batch.Events, Event{})
		if err := d.decodeEvent(&batch.Events[len(batch.Events)-1], decode, fields); err != nil {
			return batch, fmt.Errorf("%s: %w", tag, err)
		}
	}
}

// readLine reads the next line and splits it into its tag and its fields. The error is io.EOF if no line is left.
func (d *Decoder) readLine() (string, *fields, error) {
	text, err := d.reader.ReadString('\n')
	if err == io.EOF && text != "" {
		err = errors.New("last line does not end with a line break")
	}
	if err != nil {
		return "", nil, err
	}
	d.lineNumber++
	tag, rest, _ := strings.Cut(strings.TrimSuffix(text, "\n"), "\t")
	return tag, &fields{text: rest}, nil
}

func (d *Decoder) listNumber(f *fields) (int, error) {
	n := f.integer("bank")
	if f.err == nil && (n < 0 || n >= listCount) {
		return 0, fmt.Errorf("bank %d is out of range: want 0 to %d", n, listCount-1)
	}
	return int(n), f.err
}

// declareList reads an endpoint list. Each of the lines that follow the declaration holds one entry of the list.
func (d *Decoder) declareList(f *fields) error {
	number, err := d.listNumber(f)
	count := f.integer("membersList")
	if err == nil {
		err = f.err
	}
	if err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	list := endpointList{declared: true}
	for i := int64(0); i < count; i++ {
		tag, fields, err := d.readLine()
		if err == io.EOF || (err == nil && tag != "item") {
			return fmt.Errorf("catalog: want %d lines with tag \"item\", got %d", count, i)
		}
		if err != nil {
			return err
		}
		node, err := decodeNode(fields)
		if err != nil {
			return fmt.Errorf("catalog: item %d of %d: %w", i+1, count, err)
		}
		list.nodes = append(list.nodes, node)
	}
	d.lists[number] = list
	return nil
}

var phases = map[string]scheduler.Phase{
	"up":       scheduler.Up,
	"draining": scheduler.Draining,
	"removed":  scheduler.Removed,
}

func decodeNode(f *fields) (scheduler.Node, error) {
	phase, known := phases[f.value("phase")]
	if !known {
		return scheduler.Node{}, fmt.Errorf("unknown phase %q", f.value("phase"))
	}
	node := scheduler.Node{
		ID:        f.required("node"),
		Zone:      int(f.numberOr("locality", 0)),
		Shard:     int(f.number("cluster")),
		Phase:     phase,
		Size:      f.numberOr("units", 1),
		StartedAt: millis(f.numberOr("cameUpMs", 0)),
	}
	return node, f.err
}

// eventDecoder decodes the fields of a line into an event. It sets Kind and the fields that this kind has, but not
// Instance, which decodeEvent sets.
type eventDecoder func(*Decoder, *Event, *fields) error

// eventDecoders maps the tag of a line to the decoder of its event. Lines with other tags are skipped.
var eventDecoders = map[string]eventDecoder{
	"init":      (*Decoder).decodeInstanceStarted,
	"power_off": (*Decoder).decodeInstanceStopped,
	"announce":  (*Decoder).decodeMembershipChanged,
	"ingress":   (*Decoder).decodeRequestArrived,
	"echo":      (*Decoder).decodeProbeEnded,
	"ack_first": (*Decoder).decodeStreamStarted,
	"vanished":  (*Decoder).decodeClientDisconnected,
	"response":  (*Decoder).decodeAttemptEnded,
	"alarm":     (*Decoder).decodeTimerFired,
}

func (d *Decoder) decodeEvent(event *Event, decode eventDecoder, f *fields) error {
	if err := decode(d, event, f); err != nil {
		return err
	}
	event.Instance = int(f.integer("who"))
	return f.err
}

func (*Decoder) decodeInstanceStarted(event *Event, f *fields) (err error) {
	event.Kind = InstanceStarted
	event.Seed = f.unsigned("initSeed")
	event.Settings, err = ParseSettings([]byte(f.value("conf")))
	return err
}

func (*Decoder) decodeInstanceStopped(event *Event, _ *fields) error {
	event.Kind = InstanceStopped
	return nil
}

var membershipKinds = map[string]scheduler.MembershipKind{
	"remembered": scheduler.CachedList,
	"all":        scheduler.FullList,
	"changes":    scheduler.DeltaList,
	"refused":    scheduler.WatchFailed,
}

func (d *Decoder) decodeMembershipChanged(event *Event, f *fields) error {
	event.Kind = MembershipChanged
	kind, known := membershipKinds[f.value("mode")]
	if !known {
		return fmt.Errorf("unknown mode %q", f.value("mode"))
	}
	event.Membership.Kind = kind
	if kind == scheduler.WatchFailed {
		return nil
	}
	number, err := d.listNumber(f)
	if err != nil {
		return err
	}
	if !d.lists[number].declared {
		return fmt.Errorf("bank %d was not declared by a catalog line", number)
	}
	event.Membership.Nodes = d.lists[number].nodes
	return nil
}

func (*Decoder) decodeRequestArrived(event *Event, f *fields) error {
	event.Kind = RequestArrived
	event.Request = scheduler.Request{
		ID:            f.required("opId"),
		Class:         int(f.integer("priority")),
		Plan:          int(f.numberOr("serviceLevel", 0)),
		Volume:        f.value("storeUser"),
		Key:           f.value("blockKey"),
		Units:         f.numberOr("costUnits", 1),
		Shard:         int(f.numberOr("homeCell", scheduler.AnyShard)),
		ClientTimeout: f.duration("patienceLeftMs"),
		Hosts:         int(f.numberOr("hosts", 1)),
	}
	return nil
}

func (*Decoder) decodeProbeEnded(event *Event, f *fields) error {
	event.Kind = ProbeEnded
	event.Probe = scheduler.ProbeResult{
		Node:    f.required("node"),
		Served:  f.value("status") == "completed",
		Latency: f.duration("rttMs"),
		Load:    f.loadReport("stats"),
	}
	return nil
}

func (*Decoder) decodeStreamStarted(event *Event, f *fields) error {
	event.Kind = StreamStarted
	event.Outcome = f.attemptOutcome()
	return nil
}

func (*Decoder) decodeClientDisconnected(event *Event, f *fields) error {
	event.Kind = ClientDisconnected
	event.ID = f.required("opId")
	return nil
}

var results = map[string]scheduler.Result{
	"completed":    scheduler.Served,
	"errored":      scheduler.Errored,
	"saturated":    scheduler.Overloaded,
	"overdue":      scheduler.TimedOut,
	"refused_conn": scheduler.ConnectFailed,
	"severed":      scheduler.ConnectionReset,
	"recalled":     scheduler.Canceled,
	"superseded":   scheduler.NotSent,
}

func (*Decoder) decodeAttemptEnded(event *Event, f *fields) error {
	event.Kind = AttemptEnded
	event.Outcome = f.attemptOutcome()
	result, known := results[f.value("status")]
	if !known {
		return fmt.Errorf("unknown status %q", f.value("status"))
	}
	event.Outcome.Result = result
	event.Outcome.Concluded = f.value("doneFlag") == "1"
	// The field is 0 if the use is unknown, and otherwise 1 plus the percentage of the plan's rate that is in use.
	event.Outcome.VolumeUse = (f.numberOr("metered", 0) - 1) / 100
	event.Outcome.OtherUnits = f.numberOr("delta", 0)
	event.Outcome.Load = f.loadReport("stats")
	return nil
}

func (*Decoder) decodeTimerFired(event *Event, f *fields) error {
	event.Kind = TimerFired
	event.Timer = f.unsigned("keyBack")
	return nil
}
