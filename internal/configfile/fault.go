package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Fault is one thing that is wrong in a file, and where.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`          // from 1; 0 where the fault has no place in the file
	Column  int    `json:"column"`        // from 1, in characters; 0 where only the line is known
	Key     string `json:"key,omitempty"` // dotted, as in unit[0].lun
	Message string `json:"message"`
	Text    string `json:"text,omitempty"` // the line itself
}

// Error gives one line: FILE:LINE:COL: KEY: MESSAGE.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	switch {
	case f.Line > 0 && f.Column > 0:
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	case f.Line > 0: // of a file that is read by lines alone
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Key != "" {
		b.WriteString(": " + f.Key)
	}
	b.WriteString(": " + f.Message)
	return b.String()
}

// Show gives the fault, the line in which it is and a caret under it.
func (f Fault) Show() string {
	if f.Text == "" {
		return f.Error()
	}
	// A tab stands as itself before the caret, so that the caret comes under its place however wide tabs are.
	lead := strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, firstRunes(f.Text, f.Column-1))
	return fmt.Sprintf("%s\n    %s\n    %s^", f.Error(), f.Text, lead)
}

func firstRunes(text string, n int) string {
	for i := range text {
		if n <= 0 {
			return text[:i]
		}
		n--
	}
	return text
}

// Faults are all faults of a file. As an error they stand one to a line, in the order of the file.
type Faults []Fault

// Error gives all faults, one to a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err gives the faults in the order of their places, or nil where there is none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}

// place gives line and column, both from 1, of a byte of the text, and the line.
func (d *Document) place(offset int) (line, column int, whole string) {
	offset = min(max(offset, 0), len(d.text))
	line, _ = slices.BinarySearch(d.lines, offset+1) // the lines that begin at offset or before it
	start, end := d.lines[line-1], len(d.text)
	if line < len(d.lines) {
		end = d.lines[line] - 1
	}
	return line, 1 + utf8.RuneCount(d.text[start:offset]), strings.TrimSuffix(string(d.text[start:end]), "\r")
}

// Position gives FILE:LINE.
func (f Fault) Position() string { return fmt.Sprintf("%s:%d", f.File, f.Line) }
