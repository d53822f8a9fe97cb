package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"reachpulley/scheduler"
)

// Encoder writes replies. Errors of the writer are kept until Flush.
type Encoder struct{ w *bufio.Writer }

// NewEncoder makes an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{bufio.NewWriterSize(w, bufferSize)}
}

// Flush ends the reply to a batch.
func (e *Encoder) Flush() error {
	e.w.WriteString("ack\n")
	return e.w.Flush()
}

// Fault reports that an instance cannot go on.
func (e *Encoder) Fault(instance int, text string) {
	e.line("fatal", instance, "msg", oneLine(text))
}

// line writes a line with its tag, the instance and pairs of names and values.
func (e *Encoder) line(tag string, instance int, pairs ...string) {
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

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

func oneLine(text string) string { return lineBreaks.Replace(text) }

// Instance writes the actions of one instance of the scheduler.
type Instance struct {
	Encoder *Encoder
	Number  int
}

var _ scheduler.Actions = Instance{}

// Send starts an attempt.
func (i Instance) Send(id, node string, timeout time.Duration) {
	if timeout == 0 {
		i.Encoder.line("deliver", i.Number, "opId", id, "node", node)
		return
	}
	i.Encoder.line("deliver", i.Number, "opId", id, "node", node, "limitMs", formatMillis(timeout))
}

// Cancel cancels an attempt.
func (i Instance) Cancel(id string, attempt int) {
	i.Encoder.line("cancel", i.Number, "opId", id, "n", strconv.Itoa(attempt))
}

// Reject ends a request that the client may safely send again.
func (i Instance) Reject(id string, retryAfter time.Duration) {
	if retryAfter == 0 {
		i.Encoder.line("busy", i.Number, "opId", id)
		return
	}
	i.Encoder.line("busy", i.Number, "opId", id, "waitMs", formatMillis(retryAfter))
}

// Fail ends a request without a promise that it did not run.
func (i Instance) Fail(id string) { i.Encoder.line("give_up", i.Number, "opId", id) }

// Probe asks a node for its load.
func (i Instance) Probe(node string) { i.Encoder.line("touch", i.Number, "node", node) }

// SetTimer asks for a timer event.
func (i Instance) SetTimer(after time.Duration, key uint64) {
	i.Encoder.line("schedule", i.Number, "waitMs", formatMillis(after), "keyBack", strconv.FormatUint(key, 10))
}

// Watch subscribes to changes of the endpoint list.
func (i Instance) Watch() { i.Encoder.line("stream_changes", i.Number, "want", "1") }

// Log adds a line to the simulator's report.
func (i Instance) Log(text string) { i.Encoder.line("trace", i.Number, "msg", oneLine(text)) }
