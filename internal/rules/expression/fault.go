package expression

import "fmt"

// Fault is the reason why an expression has no value for a request. An error in its text is a SourceError instead.
type Fault struct {
	Cause       Cause
	Requirement string // what the expression requires, worded for the client
}

// Cause is the kind of a fault, by which faults are counted.
type Cause string

// The causes of faults.
const (
	CauseMissing    Cause = "missing"  // a header, a query parameter, a path segment or a part of a text is missing
	CauseUnparsable Cause = "unread"   // a value is not of the required form, or out of range
	CauseCostLimit  Cause = "too-dear" // the evaluation exceeded its cost limit
	CauseTooLarge   Cause = "too-long" // the request is larger than the declared sizes
	CauseFailed     Cause = "broken"   // the evaluation failed in another way
)

// Error returns what the expression requires.
func (f *Fault) Error() string { return f.Requirement }

// errTooLarge is the fault of a request that is larger than the sizes that the rules declare.
var errTooLarge = &Fault{
	Cause:       CauseTooLarge,
	Requirement: "headers, path and query within the sizes that the rules declare",
}

// raise ends the evaluation with a fault. The functions of the environment return only values, so they report a fault
// by a panic. The library's machine recovers from the panic, and Evaluator.Run returns the fault.
func raise(cause Cause, format string, args ...any) {
	panic(&Fault{Cause: cause, Requirement: fmt.Sprintf(format, args...)})
}

// recoveredFault returns the fault for a value that was recovered from a panic.
func recoveredFault(recovered any) *Fault {
	if fault, ok := recovered.(*Fault); ok {
		return fault
	}
	return &Fault{Cause: CauseFailed, Requirement: fmt.Sprint(recovered)}
}
