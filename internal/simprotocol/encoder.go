package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"reachpulley/scheduler"
)

// Encoder writes replies. It buffers them, and only Flush returns errors of the writer.
type Encoder struct{ w *bufio.Writer }

// NewEncoder makes an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{bufio.NewWriterSize(w, bufferSize)}
}

// Flush ends the reply to a batch and writes it out. It returns the first error of the writer.
func (e *Encoder) Flush() error {
	e.w.WriteString("ack\n")
	return e.w.Flush()
}

// Fatal reports to the simulator that an instance cannot continue, and why.
func (e *Encoder) Fatal(instance int, text string) {
	e.writeLine("fatal", instance, "msg", oneLine(text))
}

// writeLine writes a line: its tag, the number of the instance, and name=value fields from pairs of names and values.
func (e *Encoder) writeLine(tag string, instance int, pairs ...string) {
	e.w.WriteString(tag)
	e.w.WriteString("\twho=")
	e.w.WriteString(strconv.Itoa(instance))
	for i := 0; i+1 < len(pairs); i += 2 {
		e.w.WriteByte('\t')
		e.w.WriteString(pairs[i])
		e.w.WriteByte('=')
		e.w.WriteString(pairs[i+1])
	}
	e.w.WriteByte('\n')
}

func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

// separators replaces the characters that end a line or a field.
var separators = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// oneLine returns a text as the value of a field, without line breaks and tabs.
func oneLine(text string) string { return separators.Replace(text) }

// InstanceActions writes the actions of one instance of the scheduler. It implements scheduler.Actions.
type InstanceActions struct {
	Encoder *Encoder
	Number  int
}

var _ scheduler.Actions = InstanceActions{}

// Send writes the action that starts an attempt. A timeout of 0 is left out.
func (i InstanceActions) Send(id, node string, timeout time.Duration) {
	if timeout == 0 {
		i.Encoder.writeLine("deliver", i.Number, "opId", id, "node", node)
		return
	}
	i.Encoder.writeLine("deliver", i.Number, "opId", id, "node", node, "limitMs", formatMillis(timeout))
}

// Cancel writes the action that cancels an attempt.
func (i InstanceActions) Cancel(id string, attempt int) {
	i.Encoder.writeLine("cancel", i.Number, "opId", id, "n", strconv.Itoa(attempt))
}

// Reject writes the action that ends a request that the client may safely send again. A retryAfter of 0 is left out.
func (i InstanceActions) Reject(id string, retryAfter time.Duration) {
	if retryAfter == 0 {
		i.Encoder.writeLine("busy", i.Number, "opId", id)
		return
	}
	i.Encoder.writeLine("busy", i.Number, "opId", id, "waitMs", formatMillis(retryAfter))
}

// Fail writes the action that ends a request that may have run.
func (i InstanceActions) Fail(id string) { i.Encoder.writeLine("give_up", i.Number, "opId", id) }

// Probe writes the action that requests a load report from a node.
func (i InstanceActions) Probe(node string) { i.Encoder.writeLine("touch", i.Number, "node", node) }

// SetTimer writes the action that requests a timer event with a key after the given time.
func (i InstanceActions) SetTimer(after time.Duration, key uint64) {
	i.Encoder.writeLine("schedule", i.Number, "waitMs", formatMillis(after), "keyBack", strconv.FormatUint(key, 10))
}

// Watch writes the action that subscribes to changes of the endpoint list.
func (i InstanceActions) Watch() { i.Encoder.writeLine("stream_changes", i.Number, "want", "1") }

// Log writes the action that adds a line to the simulator's report.
func (i InstanceActions) Log(text string) {
	i.Encoder.writeLine("trace", i.Number, "msg", oneLine(text))
}
