package contract

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// SourcePosition is a position in a description file.
type SourcePosition struct {
	File    string
	Line    int    // counted from 1; 0: unknown
	Pointer string // a JSON pointer (RFC 6901)
}

// String returns the position as FILE:LINE: POINTER, or as FILE: POINTER if the line is unknown.
func (p SourcePosition) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Pointer)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Pointer)
}

// escapePointer escapes a key for use as a reference token of a JSON pointer (RFC 6901, section 3).
func escapePointer(key string) string { return strings.NewReplacer("~", "~0", "/", "~1").Replace(key) }

// unescapePointer reverses escapePointer.
func unescapePointer(token string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(token)
}

// Fault is an error or a warning about a description.
type Fault struct {
	Position SourcePosition
	Message  string
}

// Error returns the fault as FILE:LINE: POINTER: MESSAGE.
func (f Fault) Error() string { return f.Position.String() + ": " + f.Message }

// Faults are the errors or the warnings about descriptions.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults in place by position and returns them.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Pointer, b.Position.Pointer),
		)
	})
	return f
}
