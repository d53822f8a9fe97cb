package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a file, with its position.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`          // counted from 1; 0 if the fault has no position
	Column  int    `json:"column"`        // from 1, in characters (syntax errors: in bytes); 0 if unknown
	Key     string `json:"key,omitempty"` // dotted, as in unit[0].lun
	Message string `json:"message"`
	Text    string `json:"text,omitempty"` // text of the line
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

// Snippet returns the error, the line of the file, and a third line with a caret below the fault's column. If the line
// is unknown, it returns only the error.
func (f Fault) Snippet() string {
	if f.Text == "" {
		return f.Error()
	}
	return fmt.Sprintf("%s\n    %s\n    %s^", f.Error(), f.Text, blank(firstRunes(f.Text, f.Column-1)))
}

// blank replaces all characters except tabs by spaces. A caret after the result is aligned with the text above it at
// any tab width.
func blank(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, text)
}

// firstRunes returns the first count characters of text.
func firstRunes(text string, count int) string {
	for i := range text {
		if count <= 0 {
			return text[:i]
		}
		count--
	}
	return text
}

// Faults holds all faults of one file, or of several files that belong together, as one error.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the faults by position and returns them as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
