package expression

import "fmt"

// Fault is the reason why an expression has no value for a request. The file is not at fault.
type Fault struct {
	Cause       Cause
	Requirement string // what the expression requires, worded for the client
}

// Cause classifies faults, so that they can be counted.
type Cause string

// The causes of faults.
const (
	CauseMissing    Cause = "missing"  // a header or a part of the query or of the path is missing
	CauseUnparsable Cause = "unread"   // a text is not the number, time or duration that is required
	CauseCostLimit  Cause = "too-dear" // the evaluation reached its cost limit
	CauseTooLarge   Cause = "too-long" // the request is larger than the declared sizes
	CauseFailed     Cause = "broken"   // the evaluation failed in another way
)

// Error returns what the expression requires.
func (f *Fault) Error() string { return f.Requirement }

// errTooLarge is the fault of a request that is larger than declared.
var errTooLarge = &Fault{
	Cause:       CauseTooLarge,
	Requirement: "headers, path and query within the sizes that the rules declare",
}

// raise ends the evaluation with a fault. The functions of the environment return values only, so a fault leaves them
// as a panic. The library's machine recovers it, and Evaluator.Run returns it.
func raise(cause Cause, format string, args ...any) {
	panic(&Fault{Cause: cause, Requirement: fmt.Sprintf(format, args...)})
}

// recoveredFault converts what was recovered from a panic.
func recoveredFault(recovered any) *Fault {
	if fault, ok := recovered.(*Fault); ok {
		return fault
	}
	return &Fault{Cause: CauseFailed, Requirement: fmt.Sprint(recovered)}
}
