package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong in a file, and where.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`          // from 1; 0 if the fault has no place in the file
	Column  int    `json:"column"`        // from 1, in characters; 0 if only the line is known
	Key     string `json:"key,omitempty"` // dotted, as in unit[0].lun
	Message string `json:"message"`
	Text    string `json:"text,omitempty"` // of the line
}

// Error returns one line: FILE:LINE:COLUMN: KEY: MESSAGE.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	switch {
	case f.Line > 0 && f.Column > 0:
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	case f.Line > 0:
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Key != "" {
		b.WriteString(": " + f.Key)
	}
	b.WriteString(": " + f.Message)
	return b.String()
}

// Position returns FILE:LINE.
func (f Fault) Position() string { return fmt.Sprintf("%s:%d", f.File, f.Line) }

// Snippet returns the fault, the line in which it stands and a caret that points at its place.
func (f Fault) Snippet() string {
	if f.Text == "" {
		return f.Error()
	}
	return fmt.Sprintf("%s\n    %s\n    %s^", f.Error(), f.Text, blank(firstRunes(f.Text, f.Column-1)))
}

// blank replaces all characters by spaces except for tabs, so that a caret after them stands under its place however
// wide tabs are.
func blank(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, text)
}

func firstRunes(text string, count int) string {
	for i := range text {
		if count <= 0 {
			return text[:i]
		}
		count--
	}
	return text
}

// Faults are all faults of a file, or of several that belong together, as one error.
type Faults []Fault

// Error returns all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the faults by their places and returns them as an error, or nil if there is none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
