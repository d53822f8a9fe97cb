package rules

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
)

// pool lends evaluators: one holds the stacks and the values of named expressions of one request.
type pool struct{ sync.Pool }

type worker struct {
	*expression.Evaluator
	found []int
}

func (s *Set) borrow() *worker {
	if held, ok := s.pool.Get().(*worker); ok {
		return held
	}
	return &worker{Evaluator: expression.NewEvaluator(s.lets, s.seed, s.fence())}
}

// fence is the cost at which an evaluation is given up. It lies above what the set can cost at worst, so that it is met
// only where the reckoning was wrong.
func (s *Set) fence() int { return 2*s.Cost + 1000 }

// Evaluation is one request's way through the rules. It is ended once, by End, where its evaluator is given back.
type Evaluation struct {
	set   *Set
	facts *expression.Facts
	w     *worker
	find  finder
	told  step // nil: nobody wants to know
	fault *expression.Fault
}

// step tells of a rule that was tried; for Explain.
type step func(e *Evaluation, r *Rule, matched bool, fault *RuleFault)

// finder gives the rules of a stage that are to be tried.
type finder func(t *table, f *expression.Facts, w *worker) []int

func indexed(t *table, f *expression.Facts, w *worker) []int {
	w.found = t.candidates(f, w.Segments(), w.found[:0])
	return w.found
}

// scanned is the plain way, against which the index is proven.
func scanned(t *table, _ *expression.Facts, w *worker) []int {
	w.found = w.found[:0]
	for i := range t.rules {
		w.found = append(w.found, i)
	}
	return w.found
}

// Begin starts with a request. The facts must not change until End.
func (s *Set) Begin(f *expression.Facts) *Evaluation { return s.begin(f, indexed, nil) }

func (s *Set) begin(f *expression.Facts, find finder, told step) *Evaluation {
	e := &Evaluation{set: s, facts: f, w: s.borrow(), find: find, told: told}
	e.fault = e.w.Begin(f, s.Sizes)
	return e
}

// End gives the evaluator back and tells what the evaluation cost.
func (e *Evaluation) End() (cost int) {
	cost = e.w.Cost()
	e.w.Clear()
	e.set.pool.Put(e.w)
	e.w = nil
	return cost
}

// Apply gives what the rules say of a request. The error is a RuleFault: the request is to be refused.
func (e *Evaluation) Apply() (res Result, err error) { return e.through(stages) }

// Normalise goes through the first stage alone: it gives who asks, for fronts that need to be told nothing else.
func (e *Evaluation) Normalise() (res Result, err error) { return e.through(Normalise + 1) }

// through goes through the stages before end.
func (e *Evaluation) through(end Stage) (res Result, err error) {
	if e.fault != nil {
		return res, RuleFault{Rule: &Rule{Name: "any"}, Field: "the request", Fault: e.fault}
	}
	for stage, t := range e.set.tables[:end] {
		for _, i := range e.find(t, e.facts, e.w) {
			r := t.rules[i]
			matched, fault := e.set.try(e.w, r, &res)
			if e.told != nil {
				e.told(e, r, matched, fault)
			}
			if fault != nil {
				if !r.Skip {
					return res, *fault
				}
				res.Faults = append(res.Faults, *fault)
			}
			if matched {
				break
			}
		}
		if Stage(stage) == Normalise {
			e.w.SetClient(res.Client)
		}
	}
	return res, nil
}

// Claims gives the limits that count a request of the given class, plan and volume, with their keys. The error is a
// RuleFault: the request is to be refused.
func (e *Evaluation) Claims(class, plan, volume string, asks []ratelimit.Claim) ([]ratelimit.Claim, []RuleFault, error) {
	var faults []RuleFault
	e.w.SetDecision(class, plan, volume)
	for i, l := range e.set.limits {
		holds, fault := true, (*RuleFault)(nil)
		if l.when != nil {
			v, f := e.w.Run(l.when)
			if f != nil {
				fault = &RuleFault{&l.Rule, "when", f}
			} else {
				holds = v.(bool)
			}
		}
		var key string
		if fault == nil && holds {
			v, f := e.w.Run(l.key)
			if f != nil {
				fault = &RuleFault{&l.Rule, "key", f}
			} else {
				key = v.(string)
			}
		}
		if e.told != nil {
			e.told(e, &l.Rule, holds && fault == nil, fault)
		}
		switch {
		case fault != nil && !l.Skip:
			return nil, faults, *fault
		case fault != nil:
			faults = append(faults, *fault)
		case holds:
			asks = append(asks, ratelimit.Claim{Limit: i, Key: key})
		}
	}
	return asks, faults, nil
}

// try applies a rule: all that it sets, or nothing.
func (s *Set) try(w *worker, r *Rule, res *Result) (matched bool, fault *RuleFault) {
	if !r.template.matches(w.Segments()) {
		return false, nil
	}
	if r.when != nil {
		holds, f := w.Run(r.when)
		if f != nil {
			return false, &RuleFault{r, "when", f}
		}
		if !holds.(bool) {
			return false, nil
		}
	}
	var values [fields]any
	for _, set := range r.sets {
		v, f := w.Run(set.program)
		if f == nil {
			v, f = s.check(set.field, v)
		}
		if f != nil {
			return false, &RuleFault{r, set.field.String(), f}
		}
		values[set.field] = v
	}
	for _, set := range r.sets {
		res.set(set.field, values[set.field], r)
	}
	return true, nil
}

// check holds a computed value to what the settings and the platform allow. What is constant was checked at load.
func (s *Set) check(f Field, v any) (any, *expression.Fault) {
	unread := func(format string, args ...any) *expression.Fault {
		return &expression.Fault{Cause: expression.CauseUnparsable, Wants: fmt.Sprintf(format, args...)}
	}
	switch f {
	case Class:
		i, ok := s.classes[v.(string)]
		if !ok {
			return nil, unread("a class of the settings in place of %.64q", v)
		}
		return i, nil
	case Plan:
		i, ok := s.plans[v.(string)]
		if !ok {
			return nil, unread("a plan of the settings in place of %.64q", v)
		}
		return i, nil
	case Volume, Key:
		if !IsID(v.(string)) {
			return nil, unread("16 hex digits in place of %.64q", v)
		}
	case Units:
		x, ok := v.(float64)
		if !ok {
			x = float64(v.(int))
		}
		most := s.settings.Sizes.MaxUnits
		if !(x > 0) || x > 1e6 || most > 0 && x > most || math.IsInf(x, 0) {
			return nil, unread("units above 0 and up to %v in place of %v", most, x)
		}
		return x, nil
	case Shard:
		if n := v.(int); n < -1 || n > 1e6 {
			return nil, unread("a shard from -1 on in place of %d", n)
		}
	case Hosts:
		if n := v.(int); n < 1 || n > 1e6 {
			return nil, unread("hosts from 1 on in place of %d", n)
		}
	case Deadline:
		if d := v.(time.Duration); d <= 0 || d > time.Hour {
			return nil, unread("a deadline above 0 and up to an hour in place of %v", d)
		}
	case Idempotency:
		if text := v.(string); text == "" || len(text) > mostIdempotency || strings.ContainsFunc(text, unprintable) {
			return nil, unread("an idempotency key of 1 to %d printable characters", mostIdempotency)
		}
	case Client:
		if len(v.(string)) > expression.MaxNameBytes {
			return nil, unread("no more than %d characters", expression.MaxNameBytes)
		}
	}
	return v, nil
}

const mostIdempotency = 255

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// IsID tells whether a text is the 16 hex digits of a volume or a piece of data.
func IsID(text string) bool {
	return len(text) == 16 && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}

func (r *Result) set(f Field, v any, by *Rule) {
	r.Has[f], r.By[f] = true, by
	switch f {
	case Client:
		r.Client = v.(string)
	case Class:
		r.Class = v.(int)
	case Plan:
		r.Plan = v.(int)
	case Deadline:
		r.Deadline = v.(time.Duration)
	case Units:
		r.Units = v.(float64)
	case Volume:
		r.Volume = v.(string)
	case Key:
		r.Key = v.(string)
	case Shard:
		r.Shard = v.(int)
	case Hosts:
		r.Hosts = v.(int)
	case Idempotency:
		r.Idempotency = v.(string)
	}
}
