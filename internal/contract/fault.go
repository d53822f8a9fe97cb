package contract

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// SourcePosition is a place in a description.
type SourcePosition struct {
	File    string
	Line    int    // 0: unknown
	Pointer string // a JSON pointer (RFC 6901)
}

// String returns FILE:LINE: POINTER.
func (p SourcePosition) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Pointer)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Pointer)
}

// escapePointer makes a key part of a JSON pointer (RFC 6901, section 3).
func escapePointer(key string) string { return strings.NewReplacer("~", "~0", "/", "~1").Replace(key) }

// unescapePointer is the reverse of escapePointer.
func unescapePointer(part string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(part)
}

// Fault is something wrong with a description.
type Fault struct {
	Position SourcePosition
	Message  string
}

// Error returns FILE:LINE: POINTER: MESSAGE.
func (f Fault) Error() string { return f.Position.String() + ": " + f.Message }

// Faults are all that is wrong with descriptions.
type Faults []Fault

// Error returns a line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts faults by their positions.
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
