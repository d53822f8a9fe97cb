package catalog

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"reachpulley/internal/contract"
	"reachpulley/scheduler"
)

// maxGeneratedClasses is the maximum number of classes that descriptions generate. With too many, each would have too
// few requests for the scheduler to learn about it.
const maxGeneratedClasses = 64

// classAssigner assigns a class to each entry: the class that the description names, or one generated from its latency
// objective and deadline. An operation that names no class and lacks one of the two keeps the class of undescribed
// calls.
type classAssigner struct {
	settings  scheduler.Settings
	generated []scheduler.Class
	numbers   map[scheduler.Class]int // numbers of the generated classes, after the classes of the settings
	faults    contract.Faults
}

// assign sets the class of an entry, and generates it if necessary.
func (a *classAssigner) assign(entry *Entry) {
	operation := entry.Operation
	switch {
	case operation.Class != "":
		a.assignNamed(entry)
	case operation.LatencyObjective > 0 && operation.Deadline > 0:
		class := generateClass(operation, entry.RetryPolicy, a.settings.Classes)
		number, known := a.numbers[class]
		if !known {
			number = len(a.settings.Classes) + len(a.generated)
			a.numbers[class] = number
			a.generated = append(a.generated, class)
		}
		entry.Class = number
	}
}

// assignNamed assigns the class that the description names, and adds a fault for each contradiction between the two.
func (a *classAssigner) assignNamed(entry *Entry) {
	operation := entry.Operation
	named := func(c scheduler.Class) bool { return c.Name == operation.Class }
	number := slices.IndexFunc(a.settings.Classes, named)
	if number < 0 {
		entry.Class = 0
		a.addFault(operation, fmt.Sprintf("the settings have no class %q", operation.Class))
		return
	}
	entry.Class = number
	for _, message := range contradictions(entry, a.settings.Classes[number]) {
		a.addFault(operation, message)
	}
}

func (a *classAssigner) addFault(operation *contract.Operation, message string) {
	a.faults = append(a.faults, contract.Fault{Position: operation.Position, Message: message})
}

// contradictions returns a message for each thing that a description allows and its class does not. A description may
// allow less than its class.
func contradictions(entry *Entry, class scheduler.Class) []string {
	var messages []string
	add := func(format string, args ...any) { messages = append(messages, fmt.Sprintf(format, args...)) }
	operation, policy := entry.Operation, entry.RetryPolicy
	bothWithKey := policy.Idempotency == scheduler.IdempotentWithKey && class.Idempotency == scheduler.IdempotentWithKey
	if policy.Idempotency < class.Idempotency {
		word := idempotencyWord(class.Idempotency)
		add("the operation is declared %s, but its class %q is %s", operation.Idempotency, class.Name, word)
	}
	if bothWithKey && policy.Window > class.DedupWindow {
		const message = "the window (for) of the key, %v, is longer than that of its class %q, %v"
		add(message, policy.Window, class.Name, class.DedupWindow)
	}
	if bothWithKey && policy.NarrowedBy(class.RetryPolicy()).Scope != policy.Scope {
		add("the scope (group) of the key, %s, has more nodes than its class %q allows",
			operation.DedupScope, class.Name)
	}
	if operation.Deadline > class.Deadline {
		const message = "the deadline of %v is longer than that of its class %q, %v"
		add(message, operation.Deadline, class.Name, class.Deadline)
	}
	if policy.Idempotency != scheduler.Idempotent && !readsOnly(operation.Method) && !class.Writes {
		add("its class %q only reads, but a %s that is not declared safe writes", class.Name, operation.Method)
	}
	return messages
}

// idempotencyWord returns the word for a kind of idempotency in descriptions.
func idempotencyWord(i scheduler.Idempotency) contract.Idempotency {
	for word, idempotency := range idempotencyOf {
		if idempotency == i {
			return word
		}
	}
	return ""
}

// readsOnly reports whether requests with a method only read.
func readsOnly(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// strictestClass returns the number of the class with the strictest idempotency. Of several, it prefers one that
// writes, and of these the one with the shortest deadline.
func strictestClass(classes []scheduler.Class) int {
	strictest := 0
	for i, class := range classes {
		if compareStrictness(class, classes[strictest]) > 0 {
			strictest = i
		}
	}
	return strictest
}

// compareStrictness returns a positive number if a is stricter than b, as strictestClass defines it.
func compareStrictness(a, b scheduler.Class) int {
	return cmp.Or(
		cmp.Compare(a.Idempotency, b.Idempotency),
		compareBool(a.Writes, b.Writes),
		cmp.Compare(b.Deadline, a.Deadline),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// generateClass returns a class with the properties that a description states.
func generateClass(o *contract.Operation, policy scheduler.RetryPolicy, classes []scheduler.Class) scheduler.Class {
	class := scheduler.Class{
		LatencyObjective: o.LatencyObjective,
		Deadline:         o.Deadline,
		PriorityWeight:   cmp.Or(o.PriorityWeight, 1),
		Idempotency:      policy.Idempotency,
		DedupScope:       policy.Scope,
		DedupWindow:      policy.Window,
		Writes:           !readsOnly(o.Method),
	}
	// A late response is worth no more than in any class of the settings.
	for i, other := range classes {
		if i == 0 || other.LateWeightShare < class.LateWeightShare {
			class.LateWeightShare = other.LateWeightShare
		}
	}
	class.Name = generatedName(o, class)
	return class
}

// generatedName returns a name that contains the distinguishing properties of a class. Captures store it within their
// settings.
func generatedName(o *contract.Operation, class scheduler.Class) string {
	const format = "described %s %v %v %v"
	name := fmt.Sprintf(format, o.Idempotency, class.LatencyObjective, class.Deadline, class.PriorityWeight)
	if class.DedupWindow > 0 {
		name += fmt.Sprintf(" %s %v", o.DedupScope, class.DedupWindow)
	}
	if class.Writes {
		name += " writes"
	}
	return name
}
