package catalog

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"reachpulley/internal/contract"
	"reachpulley/scheduler"
)

// maxGeneratedClasses bounds the classes that descriptions generate. The scheduler needs requests of a class to learn
// about it.
const maxGeneratedClasses = 64

// classAssigner assigns classes to entries: the one that the description names, or one generated from its objective and
// deadline. An operation with neither keeps the class of undescribed calls.
type classAssigner struct {
	settings  scheduler.Settings
	generated []scheduler.Class
	numbers   map[scheduler.Class]int // of generated classes, behind those of the settings
	faults    contract.Faults
}

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

// assignNamed assigns the class that the description names, and reports what contradicts it.
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

// contradictions returns where a description allows what its class does not. A description may allow less.
func contradictions(entry *Entry, class scheduler.Class) []string {
	var messages []string
	add := func(format string, args ...any) { messages = append(messages, fmt.Sprintf(format, args...)) }
	operation, policy := entry.Operation, entry.RetryPolicy
	bothWithKey := policy.Idempotency == scheduler.IdempotentWithKey && class.Idempotency == scheduler.IdempotentWithKey
	if policy.Idempotency < class.Idempotency {
		word := idempotencyWord(class.Idempotency)
		add("it is called %s, and its class %q is %s", operation.Idempotency, class.Name, word)
	}
	if bothWithKey && policy.Window > class.DedupWindow {
		const message = "its key is called known for %v, but in its class %q it is for %v"
		add(message, policy.Window, class.Name, class.DedupWindow)
	}
	if bothWithKey && policy.NarrowedBy(class.RetryPolicy()).Scope != policy.Scope {
		add("its retries are said to be discarded by more nodes than in its class %q", class.Name)
	}
	if operation.Deadline > class.Deadline {
		const message = "its deadline, %v, is longer than that of its class %q, %v"
		add(message, operation.Deadline, class.Name, class.Deadline)
	}
	if policy.Idempotency != scheduler.Idempotent && !readsOnly(operation.Method) && !class.Writes {
		add("its class %q only reads, but %s that is not safe writes", class.Name, operation.Method)
	}
	return messages
}

// idempotencyWord returns the word of descriptions.
func idempotencyWord(i scheduler.Idempotency) contract.Idempotency {
	for word, idempotency := range idempotencyOf {
		if idempotency == i {
			return word
		}
	}
	return ""
}

// readsOnly reports whether a method only readsOnly.
func readsOnly(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// strictestClass returns the class that allows least: of those that allow the fewest retries, one that writes, and then
// the one with the shortest deadline.
func strictestClass(classes []scheduler.Class) int {
	strictest := 0
	for i, class := range classes {
		if compareStrictness(class, classes[strictest]) > 0 {
			strictest = i
		}
	}
	return strictest
}

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

// generateClass makes a class of what a description says.
func generateClass(o *contract.Operation, policy scheduler.RetryPolicy, known []scheduler.Class) scheduler.Class {
	class := scheduler.Class{
		LatencyObjective: o.LatencyObjective,
		Deadline:         o.Deadline,
		PriorityWeight:   cmp.Or(o.PriorityWeight, 1),
		Idempotency:      policy.Idempotency,
		DedupScope:       policy.Scope,
		DedupWindow:      policy.Window,
		Writes:           !readsOnly(o.Method),
	}
	// Late answers are worth no more than in any class of the settings.
	for i, other := range known {
		if i == 0 || other.LateWeightShare < class.LateWeightShare {
			class.LateWeightShare = other.LateWeightShare
		}
	}
	class.Name = generatedName(o, class)
	return class
}

// generatedName names a class by what distinguishes it. The settings in captures contain the name.
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
