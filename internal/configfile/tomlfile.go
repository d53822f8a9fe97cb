// Package configfile reads the operator's TOML files. All faults of a file are found in one reading, and each names
// the file, the line, the column and the key.
package configfile

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/go-viper/mapstructure/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MostBytes bounds a file. 10,000 rules need about a third of it.
const MostBytes = 8 << 20

// Document is a file that is sound TOML.
type Document struct {
	Path   string
	text   []byte
	tree   map[string]any
	lines  []int           // where they begin
	places map[string]span // by dotted key
}

// span is where a key and its value stand.
type span struct{ key, value, end int } // offsets in bytes; value is 0 for a table

// Read parses the file at path.
func Read(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > MostBytes {
		return nil, Faults{{File: path, Message: fmt.Sprintf("the file has %d bytes, more than %d", info.Size(), MostBytes)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads text, which faults name as the file path.
func Parse(path string, text []byte) (*Document, error) {
	d := &Document{Path: path, text: text, tree: map[string]any{}, lines: []int{0}, places: map[string]span{}}
	for i, b := range text {
		if b == '\n' {
			d.lines = append(d.lines, i+1)
		}
	}
	if err := toml.Unmarshal(text, &d.tree); err != nil {
		var at *toml.DecodeError
		fault := Fault{File: path, Message: strings.TrimPrefix(err.Error(), "toml: ")}
		if errors.As(err, &at) {
			fault.Line, fault.Column = at.Position()
			fault.Key = strings.Join(at.Key(), ".")
			if lines := strings.Split(string(text), "\n"); fault.Line <= len(lines) {
				fault.Text = strings.TrimSuffix(lines[fault.Line-1], "\r")
			}
		}
		return nil, Faults{fault}
	}
	d.index()
	return d, nil
}

// index notes where each key stands. The text is sound by now, so the parser has no errors left to report.
func (d *Document) index() {
	p := unstable.Parser{}
	p.Reset(d.text)
	prefix, counts := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = d.tableKey(e, counts, false)
		case unstable.ArrayTable:
			prefix = d.tableKey(e, counts, true)
		case unstable.KeyValue:
			d.keyValue(prefix, e)
		}
	}
}

// tableKey gives the dotted key of a table's header; tables of a list are counted.
func (d *Document) tableKey(e *unstable.Node, counts map[string]int, list bool) string {
	path, at := "", -1
	for it := e.Key(); it.Next(); {
		path = dotted(path, string(it.Node().Data))
		if at < 0 {
			at = int(it.Node().Raw.Offset)
		}
		if it.IsLast() && list {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	d.note(path, span{key: at})
	return path
}

func (d *Document) keyValue(prefix string, e *unstable.Node) {
	at, path := -1, prefix
	for it := e.Key(); it.Next(); {
		if at < 0 {
			at = int(it.Node().Raw.Offset)
		}
		path = dotted(path, string(it.Node().Data))
		d.note(path, span{key: at})
	}
	d.value(path, at, e.Value())
}

func (d *Document) value(path string, at int, v *unstable.Node) {
	s := span{key: at}
	if v.Raw.Length > 0 {
		s.value, s.end = int(v.Raw.Offset), int(v.Raw.Offset+v.Raw.Length)
	}
	d.places[path] = s
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			d.keyValue(path, it.Node())
		}
	case unstable.Array:
		n := 0
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			at := at
			if it.Node().Raw.Length > 0 {
				at = int(it.Node().Raw.Offset)
			}
			d.value(fmt.Sprintf("%s[%d]", path, n), at, it.Node())
			n++
		}
	}
}

// note keeps a key's first place.
func (d *Document) note(path string, s span) {
	if _, ok := d.places[path]; !ok {
		d.places[path] = s
	}
}

func dotted(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// Has tells whether a key stands in the file.
func (d *Document) Has(key string) bool {
	_, ok := d.places[key]
	return ok
}

// Fault words a fault at a key; where the key is missing, at the closest table around it.
func (d *Document) Fault(key, format string, args ...any) Fault {
	f := Fault{File: d.Path, Key: key, Message: fmt.Sprintf(format, args...)}
	if s, ok := d.around(key); ok {
		f.Line, f.Column, f.Text = d.place(s.key)
	}
	return f
}

// FaultWithin words a fault at a byte of a string's decoded value.
func (d *Document) FaultWithin(key string, offset int, format string, args ...any) Fault {
	f := d.Fault(key, format, args...)
	if s, ok := d.places[key]; ok && s.end > s.value {
		f.Line, f.Column, f.Text = d.place(s.value + rawOffset(d.text[s.value:s.end], offset))
	}
	return f
}

func (d *Document) around(key string) (span, bool) {
	for {
		if s, ok := d.places[key]; ok {
			return s, true
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return span{}, false
		}
		key = key[:cut]
	}
}

// rawOffset finds in a TOML string, quotes and all, what stands at a byte of its value.
func rawOffset(raw []byte, offset int) int {
	text := string(raw)
	at, literal := 1, strings.HasPrefix(text, "'")
	if strings.HasPrefix(text, `"""`) || strings.HasPrefix(text, "'''") {
		at = 3
		at += len(text[at:]) - len(strings.TrimPrefix(strings.TrimPrefix(text[at:], "\r"), "\n"))
	}
	for decoded := 0; decoded < offset && at < len(text); {
		size, gives := 1, 1
		if !literal && text[at] == '\\' && at+1 < len(text) {
			switch text[at+1] {
			case 'x':
				size = 4
			case 'u':
				size = 6
			case 'U':
				size = 10
			case ' ', '\t', '\r', '\n':
				rest := strings.TrimLeft(text[at+1:], " \t\r\n")
				size, gives = len(text)-at-len(rest), 0
			default:
				size = 2
			}
		}
		at, decoded = at+size, decoded+gives
	}
	return min(at, len(text)-1)
}

// Decode fills the struct that into points to, by its toml tags, and gives all faults of types and all keys that
// are not known. What the file leaves out stays as it was.
func (d *Document) Decode(into any) Faults {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: into, TagName: "toml",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: exact,
	})
	if err != nil {
		return Faults{{File: d.Path, Message: err.Error()}}
	}
	var faults Faults
	if err := decoder.Decode(d.tree); err != nil {
		for _, one := range leaves(err) {
			var at *mapstructure.DecodeError
			if !errors.As(one, &at) {
				faults = append(faults, Fault{File: d.Path, Message: one.Error()})
				continue
			}
			faults = append(faults, d.Fault(mapKey.ReplaceAllString(at.Name(), ".$1"), "%s", worded(at.Unwrap())))
		}
	}
	return d.unknown(faults, "", d.tree, reflect.TypeOf(into).Elem())
}

// mapKey is how the decoder writes the key of a map, which is a key like any other here.
var mapKey = regexp.MustCompile(`\[([^\]]*[^\]0-9][^\]]*)\]`)

// unknown adds the keys of a value that its type has no field for. The decoder tells them only where it found no other
// fault.
func (d *Document) unknown(faults Faults, path string, value any, t reflect.Type) Faults {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch v := value.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			for i, one := range v {
				faults = d.unknown(faults, fmt.Sprintf("%s[%d]", path, i), one, t.Elem())
			}
		}
	case map[string]any:
		if t.Kind() != reflect.Struct {
			return faults
		}
		fields := map[string]reflect.Type{}
		for i := range t.NumField() {
			if tag := t.Field(i).Tag.Get("toml"); tag != "" && tag != "-" {
				fields[tag] = t.Field(i).Type
			}
		}
		for key, one := range v {
			if of, ok := fields[key]; ok {
				faults = d.unknown(faults, dotted(path, key), one, of)
				continue
			}
			faults = append(faults, d.Fault(dotted(path, key), "unknown key%s", DidYouMean(key, slices.Sorted(maps.Keys(fields)))))
		}
	}
	return faults
}

// DidYouMean names the one of names that is closest to a word, where one is close; otherwise it is empty.
func DidYouMean(word string, names []string) string {
	best, least := "", 1+len(word)/3
	for _, name := range names {
		if far := levenshtein.ComputeDistance(word, name); far <= least && (best == "" || far < least) {
			best, least = name, far
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// leaves takes joined errors apart.
func leaves(err error) (all []error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, one := range joined.Unwrap() {
			all = append(all, leaves(one)...)
		}
		return all
	}
	if _, ok := err.(*mapstructure.DecodeError); !ok {
		if inner := errors.Unwrap(err); inner != nil {
			return leaves(inner)
		}
	}
	return []error{err}
}

// worded says what is wrong with a value in the terms of the file.
func worded(err error) string {
	var kind *mapstructure.UnconvertibleTypeError
	if errors.As(err, &kind) {
		return fmt.Sprintf("want %s, got %s", wanted(kind.Expected.Type()), got(kind.Value))
	}
	return err.Error()
}

func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a table"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func got(value any) string {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Map:
		return "a table"
	case reflect.Slice:
		return "a list"
	}
	return fmt.Sprintf("%#v", value)
}

var duration = reflect.TypeFor[time.Duration]()

// exact keeps values from being bent into their field's type: 3.5 is no whole number, 5 no duration, a table no list
// of one.
func exact(from, to reflect.Type, value any) (any, error) {
	switch {
	case to == duration && from.Kind() == reflect.String:
		d, err := time.ParseDuration(value.(string))
		if err != nil || d < 0 {
			return nil, fmt.Errorf("%q is not a duration such as 250ms", value)
		}
		return d, nil
	case to == duration:
		return nil, fmt.Errorf(`want a duration such as "250ms", got %s`, got(value))
	case from.Kind() == reflect.Float64 && to.Kind() >= reflect.Int && to.Kind() <= reflect.Uint64:
		return nil, fmt.Errorf("want a whole number, got %v", value)
	case to.Kind() == reflect.Slice && from.Kind() != reflect.Slice:
		return nil, fmt.Errorf("want a list, got %s", got(value))
	}
	return value, nil
}

// Text is the file's text. It must not be changed.
func (d *Document) Text() []byte { return d.text }
