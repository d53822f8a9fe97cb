package expression

import (
	"errors"
	"time"

	"github.com/expr-lang/expr/vm"
)

// Evaluator runs programs for one request after another. It is not for several goroutines at once, and what it has been
// given is let go of by Clear.
type Evaluator struct {
	env   environment
	vms   []*vm.VM // one for each depth of named expressions
	depth int
}

// NewEvaluator makes an Evaluator for the programs of one file.
func NewEvaluator(lets []*Program, seed uint64, fence int) *Evaluator {
	e := &Evaluator{}
	e.env.seed, e.env.fence = seed, fence
	for _, p := range lets {
		e.env.lets = append(e.env.lets, let{program: p})
	}
	e.env.run = func(p *Program) any {
		v, fault := e.Run(p)
		if fault != nil {
			panic(fault)
		}
		return v
	}
	e.env.bind()
	return e
}

// Begin takes a request's facts. A request beyond the sizes is a fault for every rule.
func (e *Evaluator) Begin(f *Facts, sizes Sizes) *Fault {
	if !sizes.Within(f) || len(f.Host) > MaxNameBytes || len(f.Method) > MaxNameBytes {
		return tooLong
	}
	e.env.facts, e.env.spent = f, 0
	e.env.Method, e.env.Path, e.env.Host, e.env.Client, e.env.Front = f.Method, f.Path, f.Host, f.Client, f.Front
	e.env.Length, e.env.Arrival = f.Length, f.Arrival
	e.env.setPath(f.Path)
	return nil
}

// SetClient tells who asks, for the stages after normalise.
func (e *Evaluator) SetClient(who string) { e.env.Who = who }

// SetDecided tells what is decided by when limits are looked at.
func (e *Evaluator) SetDecided(class, plan, volume string) {
	e.env.Class, e.env.Plan, e.env.Volume = class, plan, volume
}

// Segments are the path's parts.
func (e *Evaluator) Segments() []string { return e.env.segments[:e.env.count] }

// Spent is the cost that was counted since Begin.
func (e *Evaluator) Spent() int { return e.env.spent }

// Clear lets go of a request, so that a pooled Evaluator keeps nothing of it alive.
func (e *Evaluator) Clear() {
	e.env.facts = nil
	e.env.Method, e.env.Path, e.env.Host, e.env.Client, e.env.Front, e.env.Who = "", "", "", "", "", ""
	e.env.Class, e.env.Plan, e.env.Volume = "", "", ""
	e.env.Arrival = time.Time{}
	clear(e.env.segments[:])
	for i := range e.env.lets {
		e.env.lets[i] = let{program: e.env.lets[i].program}
	}
}

// Run gives a program's value for the request at hand.
func (e *Evaluator) Run(p *Program) (any, *Fault) {
	if p.value != nil {
		return p.value, nil
	}
	if e.depth == len(e.vms) {
		e.vms = append(e.vms, &vm.VM{})
	}
	machine := e.vms[e.depth]
	e.depth++
	defer func() { e.depth-- }()
	value, err := machine.Run(p.code, &e.env)
	if err != nil {
		var fault *Fault
		if errors.As(err, &fault) {
			return nil, fault
		}
		return nil, &Fault{Broken, "a value: " + err.Error()}
	}
	return value, nil
}
