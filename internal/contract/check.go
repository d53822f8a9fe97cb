package contract

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Check gives what is wrong with operations, in the order of their places. Suspicions are of what may be meant, and forbid nothing.
func Check(all []*Operation) (faults, suspicions Faults) {
	shapes := map[string][]*Operation{}
	for _, o := range all {
		c := checking{o: o, faults: &faults, suspicions: &suspicions}
		if o.Method != "" {
			var err error
			if c.segments, err = parseTemplate(o.Template); err != nil {
				c.fault("%v", err)
				continue
			}
			shape := o.Method + " " + o.Host + shapeOf(c.segments)
			for _, other := range shapes[shape] {
				if alike(o, other) {
					c.fault("it matches the same requests as %s at %v", other.Signature(), other.Position)
				}
			}
			shapes[shape] = append(shapes[shape], o)
		}
		c.repeats()
		c.places()
		c.statuses()
		if o.LatencyObjective > 0 && o.Deadline > 0 && o.Deadline < o.LatencyObjective {
			c.fault("its deadline, %v, is shorter than its aim, %v", o.Deadline, o.LatencyObjective)
		}
		if o.Deadline > 0 && o.ExpectedDuration > o.Deadline {
			c.fault("it takes %v, longer than its deadline, %v", o.ExpectedDuration, o.Deadline)
		}
	}
	return faults.sorted(), suspicions.sorted()
}

// alike tells whether one request may be of two operations that share method, host and path, and neither goes first by having more
// conditions.
func alike(a, b *Operation) bool {
	if len(a.When) != len(b.When) || len(a.Types) > 0 && len(b.Types) > 0 && !slices.ContainsFunc(a.Types, func(t string) bool { return slices.Contains(b.Types, t) }) {
		return false
	}
	for _, x := range a.When {
		for _, y := range b.When {
			if x.Location == y.Location && x.Want != y.Want {
				return false
			}
		}
	}
	return true
}

// checking looks at one operation.
type checking struct {
	o                  *Operation
	segments           []segment
	faults, suspicions *Faults
}

func (c *checking) fault(format string, args ...any) {
	*c.faults = append(*c.faults, Fault{c.o.Position, fmt.Sprintf(format, args...)})
}

func (c *checking) suspect(format string, args ...any) {
	*c.suspicions = append(*c.suspicions, Fault{c.o.Position, fmt.Sprintf(format, args...)})
}

func (c *checking) repeats() {
	o := c.o
	switch o.Idempotency {
	case Idempotent:
		if o.Body && o.Creates {
			c.fault("it is called safe, and takes a body and says that it creates (201)")
		}
		if o.Method == "POST" || o.Method == "PATCH" {
			c.suspect("it is called safe, and its method is %s", o.Method)
		}
	case IdempotentWithKey:
		if o.Key.Name == "" || o.DedupWindow <= 0 {
			c.fault("it is called keyed, and does not say where its key stands and for how long it is known")
		}
	case NonIdempotent:
		if o.Method == "GET" || o.Method == "HEAD" {
			c.suspect("its method is %s, and nothing calls it safe: it is not repeated", o.Method)
		}
	}
	if o.Idempotency != Idempotent && o.StableFor > 0 {
		c.fault("its answers are called the same for %v, and only those of what is safe are", o.StableFor)
	}
	if o.Idempotency != IdempotentWithKey && o.Key.Name != "" {
		c.fault("it has a key, and only what is keyed has one")
	}
}

// places checks that what is to stand in the path can stand there.
func (c *checking) places() {
	if c.o.Method == "" {
		return
	}
	for what, where := range map[string]Location{"key": c.o.Key, "volume": c.o.Volume, "data": c.o.Data, "shard": c.o.Shard.Location} {
		if where.In == "path" && !slices.ContainsFunc(c.segments, func(s segment) bool { return s.template && s.text == where.Name }) {
			c.fault("its path has no {%s}, where its %s is to stand", where.Name, what)
		}
	}
}

// statuses checks what is said of them against what clients take them for: 429 and 503 tell them that trying again is harmless.
func (c *checking) statuses() {
	for status, meaning := range c.o.Statuses {
		inviting := status == "429" || status == "503"
		covers := inviting || status == "4XX" || status == "5XX"
		switch {
		case meaning == Rejected && !covers && strings.HasPrefix(status, "2"):
			c.fault("status %s is called refused: it tells of success", status)
		case inviting && (meaning == Served || meaning == Failed):
			c.fault("status %s is called %s: clients are told by it that trying again is harmless", status, meaning)
		case meaning == Failed && strings.HasPrefix(status, "2"):
			c.fault("status %s is called failed: it tells of success", status)
		case covers && !inviting && (meaning == Served || meaning == Failed):
			number := map[string]string{"4XX": "429", "5XX": "503"}[status]
			if _, ok := c.o.Statuses[number]; !ok {
				c.fault("statuses %s are called %s, and nothing is said of %s, by which clients are told that trying again is harmless", status, meaning, number)
			}
		case meaning == Rejected && status == "500":
			c.suspect("status 500 is called refused: a call that ended so may have run")
		}
		if n, err := strconv.Atoi(status); err == nil && c.o.Responses != nil {
			if _, ok := c.o.Responses[status]; !ok && meaning == Served && n != 200 {
				c.suspect("status %s is called served, and no answer with it is described", status)
			}
		}
	}
}
