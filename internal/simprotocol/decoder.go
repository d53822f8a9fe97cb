package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"reachpulley/scheduler"
)

// listCount is the number of endpoint lists that the simulator may declare. The wire calls them banks.
const listCount = 16

// Decoder reads batches.
type Decoder struct {
	reader     *bufio.Reader
	lineNumber int
	lists      [listCount]endpointList
}

// endpointList is an endpoint list that was declared before the events that refer to it.
type endpointList struct {
	declared bool
	nodes    []scheduler.Node
}

// NewDecoder makes a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, bufferSize)}
}

// Next reads one batch. Its error is io.EOF if the input ends between batches; any other error names the line.
func (d *Decoder) Next() (Batch, error) {
	batch, err := d.batch()
	if err != nil && err != io.EOF {
		err = fmt.Errorf("line %d: %w", d.lineNumber, err)
	}
	return batch, err
}

func (d *Decoder) batch() (Batch, error) {
	var batch Batch
	tag, fields, err := d.line()
	if err != nil {
		return batch, err
	}
	if tag != "round" {
		return batch, fmt.Errorf("want round, got %q", tag)
	}
	batch.Now = fields.duration("tsMs")
	if fields.err != nil {
		return batch, fields.err
	}
	for {
		tag, fields, err := d.line()
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
		if err := d.event(&batch.Events[len(batch.Events)-1], decode, fields); err != nil {
			return batch, fmt.Errorf("%s: %w", tag, err)
		}
	}
}

// line reads the next line and splits it into its tag and fields. The error is io.EOF if there is none.
func (d *Decoder) line() (string, *fields, error) {
	text, err := d.reader.ReadString('\n')
	if err == io.EOF && text != "" {
		err = errors.New("line without an end")
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
		return 0, fmt.Errorf("bank %d is out of range", n)
	}
	return int(n), f.err
}

// declareList reads an endpoint list, the entries of which are the lines that follow.
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
		tag, fields, err := d.line()
		if err == io.EOF || (err == nil && tag != "item") {
			return fmt.Errorf("catalog: want %d items, got %d", count, i)
		}
		if err != nil {
			return err
		}
		node, err := decodeNode(fields)
		if err != nil {
			return fmt.Errorf("item: %w", err)
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
		return scheduler.Node{}, errors.New("unknown phase")
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

// eventDecoder reads the fields of an event of one tag, but for the instance.
type eventDecoder func(*Decoder, *Event, *fields) error

// eventDecoders are the decoders by tag. Lines of other tags are skipped.
var eventDecoders = map[string]eventDecoder{
	"init":      (*Decoder).instanceStarted,
	"power_off": (*Decoder).instanceStopped,
	"announce":  (*Decoder).membershipChanged,
	"ingress":   (*Decoder).requestArrived,
	"echo":      (*Decoder).probeEnded,
	"ack_first": (*Decoder).streamStarted,
	"vanished":  (*Decoder).clientDisconnected,
	"response":  (*Decoder).attemptEnded,
	"alarm":     (*Decoder).timerFired,
}

func (d *Decoder) event(event *Event, decode eventDecoder, f *fields) error {
	if err := decode(d, event, f); err != nil {
		return err
	}
	event.Instance = int(f.integer("who"))
	return f.err
}

func (*Decoder) instanceStarted(event *Event, f *fields) (err error) {
	event.Kind = InstanceStarted
	event.Seed = f.unsigned("initSeed")
	event.Settings, err = ParseSettings([]byte(f.value("conf")))
	return err
}

func (*Decoder) instanceStopped(event *Event, _ *fields) error {
	event.Kind = InstanceStopped
	return nil
}

var membershipKinds = map[string]scheduler.MembershipKind{
	"remembered": scheduler.CachedList,
	"all":        scheduler.FullList,
	"changes":    scheduler.DeltaList,
	"refused":    scheduler.WatchFailed,
}

func (d *Decoder) membershipChanged(event *Event, f *fields) error {
	event.Kind = MembershipChanged
	kind, known := membershipKinds[f.value("mode")]
	if !known {
		return errors.New("unknown mode")
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
		return fmt.Errorf("bank %d was not declared", number)
	}
	event.Membership.Nodes = d.lists[number].nodes
	return nil
}

func (*Decoder) requestArrived(event *Event, f *fields) error {
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

func (*Decoder) probeEnded(event *Event, f *fields) error {
	event.Kind = ProbeEnded
	event.Probe = scheduler.ProbeResult{
		Node:    f.required("node"),
		Served:  f.value("status") == "completed",
		Latency: f.duration("rttMs"),
		Load:    f.load("stats"),
	}
	return nil
}

func (*Decoder) streamStarted(event *Event, f *fields) error {
	event.Kind = StreamStarted
	event.Outcome = f.attempt()
	return nil
}

func (*Decoder) clientDisconnected(event *Event, f *fields) error {
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

func (*Decoder) attemptEnded(event *Event, f *fields) error {
	event.Kind = AttemptEnded
	event.Outcome = f.attempt()
	result, known := results[f.value("status")]
	if !known {
		return fmt.Errorf("unknown status %q", f.value("status"))
	}
	event.Outcome.Result = result
	event.Outcome.Concluded = f.value("doneFlag") == "1"
	// On the wire, 0 is unknown and 1 is no use; each further 1 is a hundredth of the plan's rate.
	event.Outcome.VolumeUse = (f.numberOr("metered", 0) - 1) / 100
	event.Outcome.OtherUnits = f.numberOr("delta", 0)
	event.Outcome.Load = f.load("stats")
	return nil
}

func (*Decoder) timerFired(event *Event, f *fields) error {
	event.Kind = TimerFired
	event.Timer = f.unsigned("keyBack")
	return nil
}
