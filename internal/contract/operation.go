// Package contract holds what descriptions say of operations: which calls may be repeated, which carry a key, how soon each is wanted. It
// does no I/O but to read files that it is given.
package contract

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Repeats tells whether a call may run more than once.
type Repeats string

// The kinds of Repeats. Where a description says nothing, a call is Unsafe, whatever HTTP means by its method.
const (
	Safe   Repeats = "safe"
	Keyed  Repeats = "keyed"
	Unsafe Repeats = "unsafe"
)

// Operation is a call that a description tells of.
type Operation struct {
	ID       string
	Method   string // empty for AsyncAPI, which has Action and Channel instead
	Template string // of the path, as "/sheets/{id}"
	Action   string // send or receive, as seen by the application that is described
	Channel  string // its address
	Repeats  Repeats
	KeyIn    string // for Keyed: where the key stands, header, query or path
	KeyName  string
	KeyFor   time.Duration // and for how long it is known
	Aim      time.Duration // 0: not said
	Deadline time.Duration
	Body     bool // it takes one
	Creates  bool // it says 201
	Place    Place
}

// Call words what the operation is called by.
func (o *Operation) Call() string {
	if o.Method == "" {
		return o.Action + " " + o.Channel
	}
	return o.Method + " " + o.Template
}

// Place is where a description says something.
type Place struct {
	File    string
	Line    int    // 0: not known
	Pointer string // RFC 6901
}

func (p Place) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Pointer)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Pointer)
}

// Fault is something wrong with a description.
type Fault struct {
	Place   Place
	Message string
}

// Error words it as FILE:LINE: POINTER: MESSAGE.
func (f Fault) Error() string { return f.Place.String() + ": " + f.Message }

// Faults are all that is wrong.
type Faults []Fault

// Error gives a line for each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Check gives what is wrong with operations, in the order of their places. Suspicions are of what may be meant, and forbid nothing.
func Check(all []*Operation) (faults, suspicions Faults) {
	shapes := map[string]*Operation{}
	for _, o := range all {
		fault := func(format string, args ...any) {
			faults = append(faults, Fault{o.Place, fmt.Sprintf(format, args...)})
		}
		suspect := func(format string, args ...any) {
			suspicions = append(suspicions, Fault{o.Place, fmt.Sprintf(format, args...)})
		}
		var segments []segment
		if o.Method != "" {
			var err error
			if segments, err = parseTemplate(o.Template); err != nil {
				fault("%v", err)
				continue
			}
			shape := o.Method + " " + shapeOf(segments)
			if other := shapes[shape]; other != nil {
				fault("it matches the same requests as %s %s at %v", other.Method, other.Template, other.Place)
			}
			shapes[shape] = o
		}
		switch o.Repeats {
		case Safe:
			if o.Body && o.Creates {
				fault("it is called safe, and takes a body and says that it creates (201)")
			}
			if o.Method == "POST" || o.Method == "PATCH" {
				suspect("it is called safe, and its method is %s", o.Method)
			}
		case Keyed:
			if o.KeyName == "" || o.KeyFor <= 0 {
				fault("it is called keyed, and does not say where its key stands and for how long it is known")
			}
			if o.KeyIn == "path" && o.Method != "" && !slices.ContainsFunc(segments, func(s segment) bool { return s.template && s.text == o.KeyName }) {
				fault("its path has no {%s}, where its key is to stand", o.KeyName)
			}
		case Unsafe:
			if o.Method == "GET" || o.Method == "HEAD" {
				suspect("its method is %s, and nothing calls it safe: it is not repeated", o.Method)
			}
		}
		if o.Aim > 0 && o.Deadline > 0 && o.Deadline < o.Aim {
			fault("its deadline, %v, is shorter than its aim, %v", o.Deadline, o.Aim)
		}
	}
	order := func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.Place.File, b.Place.File), a.Place.Line-b.Place.Line, strings.Compare(a.Place.Pointer, b.Place.Pointer))
	}
	slices.SortStableFunc(faults, order)
	slices.SortStableFunc(suspicions, order)
	return faults, suspicions
}
