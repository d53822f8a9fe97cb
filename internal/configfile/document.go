package configfile

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// MaxBytes is the maximum size of a file, in bytes. A file of 10,000 rules has about a third of this size.
const MaxBytes = 8 << 20

// Document is a parsed TOML file with the position of each key.
type Document struct {
	Path       string
	text       []byte
	tree       map[string]any
	lineStarts []int           // offset of the first byte of each line
	spans      map[string]span // by dotted key
}

// Read reads and parses the file at path.
func Read(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > MaxBytes {
		message := fmt.Sprintf("file has %d bytes, more than the limit of %d", info.Size(), MaxBytes)
		return nil, Faults{{File: path, Message: message}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses text. Its faults name path as their file.
func Parse(path string, text []byte) (*Document, error) {
	d := &Document{
		Path:       path,
		text:       text,
		tree:       map[string]any{},
		lineStarts: []int{0},
		spans:      map[string]span{},
	}
	for i, b := range text {
		if b == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
	if err := toml.Unmarshal(text, &d.tree); err != nil {
		return nil, Faults{syntaxFault(path, text, err)}
	}
	d.indexKeys()
	return d, nil
}

// syntaxFault converts an error of the TOML parser to a Fault.
func syntaxFault(path string, text []byte, err error) Fault {
	fault := Fault{File: path, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return fault
	}
	fault.Line, fault.Column = decodeError.Position()
	fault.Key = strings.Join(decodeError.Key(), ".")
	if lines := strings.Split(string(text), "\n"); fault.Line <= len(lines) {
		fault.Text = strings.TrimSuffix(lines[fault.Line-1], "\r")
	}
	return fault
}

// Text returns the file's text. The caller must not change it.
func (d *Document) Text() []byte { return d.text }

// Fault returns a fault at a key. If the file does not contain the key, the position is that of the innermost table or
// list that would contain it.
func (d *Document) Fault(key, format string, args ...any) Fault {
	fault := Fault{File: d.Path, Key: key, Message: fmt.Sprintf(format, args...)}
	if s, ok := d.enclosingSpan(key); ok {
		fault.Line, fault.Column, fault.Text = d.position(s.key)
	}
	return fault
}

// FaultWithin returns a fault within the string value of a key. The offset is in bytes of the decoded value.
func (d *Document) FaultWithin(key string, offset int, format string, args ...any) Fault {
	fault := d.Fault(key, format, args...)
	if s, ok := d.spans[key]; ok && s.end > s.value {
		raw := string(d.text[s.value:s.end])
		fault.Line, fault.Column, fault.Text = d.position(s.value + rawOffset(raw, offset))
	}
	return fault
}

// enclosingSpan returns the span of a key or, if the file does not contain it, of the innermost table or list that
// would contain it.
func (d *Document) enclosingSpan(key string) (span, bool) {
	for {
		if s, ok := d.spans[key]; ok {
			return s, true
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return span{}, false
		}
		key = key[:cut]
	}
}

// position returns the line and the column of an offset in bytes, both counted from 1, and the text of that line.
func (d *Document) position(offset int) (line, column int, lineText string) {
	offset = min(max(offset, 0), len(d.text))
	line, _ = slices.BinarySearch(d.lineStarts, offset+1) // number of lines that begin at or before offset
	start := d.lineStarts[line-1]
	end := len(d.text)
	if line < len(d.lineStarts) {
		end = d.lineStarts[line] - 1
	}
	column = 1 + utf8.RuneCount(d.text[start:offset])
	return line, column, strings.TrimSuffix(string(d.text[start:end]), "\r")
}
