// Package summary counts what became of the requests of a capture.
package summary

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/scheduler"
)

// Outcome is what became of a request.
type Outcome int

// The kinds of Fate.
const (
	InObjective Outcome = iota // answered within its class's aim
	Late                       // answered after it
	Rejected                   // with advice to come again
	Failed
	Disconnected // its client left before an answer
	fates
)

// Class counts the requests of a class.
type Class struct {
	Arrived       int
	Ended         [fates]int
	Attempts      int
	Latencies     []time.Duration // of those answered, from arrival to answer
	EarnedWeight  float64         `json:"Worth"` // earned, by the settings' worth of an answer
	OfferedWeight float64         `json:"Asked"` // that answers to all would have earned
}

// Second counts what ended within one second.
type Second struct {
	Ended [fates]int
	Sum   time.Duration // of the latencies of those answered
}

// Summary counts a capture's requests, those that arrived within it.
type Summary struct {
	Classes []Class
	Results map[string]map[scheduler.Result]int // of attempts, by node
	Seconds map[int64]*Second
	Open    int // that have no end
	set     scheduler.Settings
	open    map[string]opened
}

type opened struct {
	class    int
	at       time.Duration
	units    float64
	attempts int
}

// New makes an empty one.
func New(set scheduler.Settings) *Summary {
	return &Summary{set: set, Classes: make([]Class, len(set.Classes)), Results: map[string]map[scheduler.Result]int{}, Seconds: map[int64]*Second{}, open: map[string]opened{}}
}

// Add counts a record; now is the time of the event that it belongs to.
func (t *Summary) Add(r *capture.Record, now time.Duration) {
	switch r.Kind {
	case capture.KindRequestArrived:
		q := r.Request
		if _, ok := t.open[q.ID]; ok || q.Class < 0 || q.Class >= len(t.Classes) {
			return
		}
		t.open[q.ID] = opened{class: q.Class, at: now, units: q.Units}
		t.Classes[q.Class].Arrived++
		t.Classes[q.Class].OfferedWeight += t.set.Classes[q.Class].PriorityWeight
	case capture.KindAttemptEnded:
		o := r.Outcome
		if t.Results[o.Node] == nil {
			t.Results[o.Node] = map[scheduler.Result]int{}
		}
		t.Results[o.Node][o.Result]++
		if o.Concluded && o.Result == scheduler.Served {
			t.answered(o.ID, now)
		}
	case capture.KindClientDisconnected:
		t.end(r.ID, Disconnected, now)
	case capture.KindReject:
		t.end(r.ID, Rejected, now)
	case capture.KindFail:
		t.end(r.ID, Failed, now)
	case capture.KindSend:
		if one, ok := t.open[r.ID]; ok {
			one.attempts++
			t.open[r.ID] = one
		}
	}
	t.Open = len(t.open)
}

func (t *Summary) answered(id string, now time.Duration) {
	one, ok := t.open[id]
	if !ok {
		return
	}
	class, took := &t.set.Classes[one.class], now-one.at
	fate, worth := InObjective, class.PriorityWeight
	if took > class.LatencyObjective {
		fate, worth = Late, class.PriorityWeight*class.LateWeightShare
	}
	c := &t.Classes[one.class]
	c.Latencies = append(c.Latencies, took)
	c.EarnedWeight += worth
	t.end(id, fate, now)
	t.second(now).Sum += took
}

func (t *Summary) end(id string, fate Outcome, now time.Duration) {
	one, ok := t.open[id]
	if !ok {
		return
	}
	delete(t.open, id)
	c := &t.Classes[one.class]
	c.Ended[fate]++
	c.Attempts += one.attempts
	t.second(now).Ended[fate]++
}

func (t *Summary) second(now time.Duration) *Second {
	at := int64(now / time.Second)
	if t.Seconds[at] == nil {
		t.Seconds[at] = &Second{}
	}
	return t.Seconds[at]
}

// Quantile gives the latency that so large a share of the answered ones stayed within; 0 without any.
func (c *Class) Quantile(share float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.Latencies))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Write words it: a table of the classes, one of the attempts by node.
func (t *Summary) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "class\tarrived\tin aim\tlate\trefused\tfailed\tleft\tattempts\tp50\tp99\tworth\t")
	for i := range t.Classes {
		c := &t.Classes[i]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%.0f of %.0f\t\n", t.set.Classes[i].Name, c.Arrived, c.Ended[InObjective], c.Ended[Late], c.Ended[Rejected],
			c.Ended[Failed], c.Ended[Disconnected], c.Attempts, c.Quantile(0.5).Round(time.Millisecond), c.Quantile(0.99).Round(time.Millisecond), c.EarnedWeight, c.OfferedWeight)
	}
	if len(t.Results) == 0 {
		return out.Flush()
	}
	out.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(out, "node\tserved\terrored\tfull\ttimed out\tno connection\treset\twithdrawn\tnot sent\t")
	nodes := make([]string, 0, len(t.Results))
	for node := range t.Results {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	for _, node := range nodes {
		fmt.Fprintf(out, "%s\t", node)
		for result := scheduler.Served; result <= scheduler.NotSent; result++ {
			fmt.Fprintf(out, "%d\t", t.Results[node][result])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
