package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Encoder writes replies.
type Encoder struct{ w *bufio.Writer }

// NewEncoder writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{bufio.NewWriterSize(w, 1<<20)} }

// Flush ends a reply.
func (e *Encoder) Flush() error {
	e.w.WriteString("ack\n")
	return e.w.Flush()
}

// Fault reports that an instance cannot go on.
func (e *Encoder) Fault(instance int, text string) { e.line("fatal", instance, "msg", oneLine(text)) }

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

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

func oneLine(text string) string { return lineBreaks.Replace(text) }

// Instance writes the actions of one instance; it is a scheduler.Actions.
type Instance struct {
	E      *Encoder
	Number int
}

// Send starts an attempt.
func (i Instance) Send(id, node string, timeout time.Duration) {
	if timeout == 0 {
		i.E.line("deliver", i.Number, "opId", id, "node", node)
		return
	}
	i.E.line("deliver", i.Number, "opId", id, "node", node, "limitMs", ms(timeout))
}

// Cancel withdraws an attempt.
func (i Instance) Cancel(id string, attempt int) {
	i.E.line("cancel", i.Number, "opId", id, "n", strconv.Itoa(attempt))
}

// Refuse ends a request that may come again.
func (i Instance) Reject(id string, retryAfter time.Duration) {
	if retryAfter == 0 {
		i.E.line("busy", i.Number, "opId", id)
		return
	}
	i.E.line("busy", i.Number, "opId", id, "waitMs", ms(retryAfter))
}

// Fail ends a request.
func (i Instance) Fail(id string) { i.E.line("give_up", i.Number, "opId", id) }

// Probe asks a node for its load.
func (i Instance) Probe(node string) { i.E.line("touch", i.Number, "node", node) }

// SetTimer asks for an alarm.
func (i Instance) SetTimer(after time.Duration, key uint64) {
	i.E.line("schedule", i.Number, "waitMs", ms(after), "keyBack", strconv.FormatUint(key, 10))
}

// Watch subscribes to the list.
func (i Instance) Watch() { i.E.line("stream_changes", i.Number, "want", "1") }

// Log adds a line to the report.
func (i Instance) Log(text string) { i.E.line("trace", i.Number, "msg", oneLine(text)) }
