package expression

import (
	"errors"

	"github.com/expr-lang/expr/vm"
)

// Evaluator runs programs. The caller calls Begin before it runs programs for a request and Clear after the last one;
// then the Evaluator can be used for another request. It must not be used by several goroutines at once.
type Evaluator struct {
	env      environment
	machines []*vm.VM // one for each depth of named expressions that use others
	depth    int      // number of machines in use
}

// NewEvaluator returns an Evaluator for the programs of one file, given its named expressions and the seed of the
// function hash. An evaluation ends with a fault once the cost of the request exceeds costLimit, in estimated
// nanoseconds.
func NewEvaluator(lets []*Program, seed uint64, costLimit int) *Evaluator {
	e := &Evaluator{}
	e.env.seed = seed
	e.env.costLimit = costLimit
	for _, program := range lets {
		e.env.lets = append(e.env.lets, namedExpression{program: program})
	}
	e.env.run = func(p *Program) any {
		value, fault := e.Run(p)
		if fault != nil {
			panic(fault)
		}
		return value
	}
	e.env.bind()
	return e
}

// Begin sets the request that programs read. It returns a fault, and sets nothing, if the request exceeds the sizes or
// its host or method is longer than MaxNameBytes.
func (e *Evaluator) Begin(f *Facts, sizes Sizes) *Fault {
	if !sizes.Within(f) || len(f.Host) > MaxNameBytes || len(f.Method) > MaxNameBytes {
		return errTooLarge
	}
	e.env.setFacts(f)
	return nil
}

// SetClient sets the name of the client, which expressions read as who. It is known after the stage normalise.
func (e *Evaluator) SetClient(name string) { e.env.Who = name }

// SetDecision sets the class, plan and volume of the request. They are known before the limits are evaluated.
func (e *Evaluator) SetDecision(class, plan, volume string) {
	e.env.Class = class
	e.env.Plan = plan
	e.env.Volume = volume
}

// Segments returns the segments of the request's path. The slice is valid until the next Begin or Clear.
func (e *Evaluator) Segments() []string { return e.env.segments[:e.env.segmentCount] }

// Cost returns the cost counted since Begin, in estimated nanoseconds.
func (e *Evaluator) Cost() int { return e.env.cost }

// Clear drops the request, so that an Evaluator in a pool does not keep it in memory.
func (e *Evaluator) Clear() { e.env.clear() }

// Run returns the value of a program for the current request.
func (e *Evaluator) Run(p *Program) (any, *Fault) {
	if p.constant != nil {
		return p.constant, nil
	}
	if e.depth == len(e.machines) {
		e.machines = append(e.machines, &vm.VM{})
	}
	machine := e.machines[e.depth]
	e.depth++
	defer func() { e.depth-- }()
	value, err := machine.Run(p.code, &e.env)
	if err == nil {
		return value, nil
	}
	var fault *Fault
	if errors.As(err, &fault) {
		return nil, fault
	}
	return nil, &Fault{Cause: CauseFailed, Requirement: "a value: " + err.Error()}
}
