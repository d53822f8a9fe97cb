package configfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span is where a key and its value stand: offsets in bytes. For a table, value and end are 0.
type span struct {
	key   int
	value int
	end   int
}

// indexKeys records where each key stands. The text is valid by now, so the parser has no errors left to report.
func (d *Document) indexKeys() {
	parser := unstable.Parser{}
	parser.Reset(d.text)
	prefix := ""
	elements := map[string]int{} // elements of each list of tables so far
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			prefix = d.indexTable(expression, elements, false)
		case unstable.ArrayTable:
			prefix = d.indexTable(expression, elements, true)
		case unstable.KeyValue:
			d.indexKeyValue(prefix, expression)
		}
	}
}

// indexTable records a table's header and returns its dotted key, in which elements of lists are numbered.
func (d *Document) indexTable(header *unstable.Node, elements map[string]int, isElement bool) string {
	path := ""
	offset := -1
	for it := header.Key(); it.Next(); {
		path = joinKey(path, string(it.Node().Data))
		if offset < 0 {
			offset = int(it.Node().Raw.Offset)
		}
		if it.IsLast() && isElement {
			elements[path]++
		}
		if count := elements[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	d.recordFirst(path, span{key: offset})
	return path
}

func (d *Document) indexKeyValue(prefix string, keyValue *unstable.Node) {
	path := prefix
	offset := -1
	for it := keyValue.Key(); it.Next(); {
		if offset < 0 {
			offset = int(it.Node().Raw.Offset)
		}
		path = joinKey(path, string(it.Node().Data))
		d.recordFirst(path, span{key: offset})
	}
	d.indexValue(path, offset, keyValue.Value())
}

func (d *Document) indexValue(path string, keyOffset int, value *unstable.Node) {
	s := span{key: keyOffset}
	if value.Raw.Length > 0 {
		s.value = int(value.Raw.Offset)
		s.end = int(value.Raw.Offset + value.Raw.Length)
	}
	d.spans[path] = s
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			d.indexKeyValue(path, it.Node())
		}
	case unstable.Array:
		d.indexArray(path, keyOffset, value)
	}
}

func (d *Document) indexArray(path string, keyOffset int, array *unstable.Node) {
	index := 0
	for it := array.Children(); it.Next(); {
		element := it.Node()
		if element.Kind == unstable.Comment {
			continue
		}
		offset := keyOffset
		if element.Raw.Length > 0 {
			offset = int(element.Raw.Offset)
		}
		d.indexValue(fmt.Sprintf("%s[%d]", path, index), offset, element)
		index++
	}
}

// recordFirst records where a key stands, unless an earlier place is recorded already.
func (d *Document) recordFirst(path string, s span) {
	if _, ok := d.spans[path]; !ok {
		d.spans[path] = s
	}
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// rawOffset converts an offset within a string's decoded value to one within its TOML form, quotes and escapes
// included.
func rawOffset(raw string, offset int) int {
	isLiteral := strings.HasPrefix(raw, "'")
	at := contentStart(raw)
	for decoded := 0; decoded < offset && at < len(raw); {
		if isLiteral || raw[at] != '\\' || at+1 == len(raw) {
			at++
			decoded++
			continue
		}
		rawSize, decodedSize := escapeSize(raw[at:])
		at += rawSize
		decoded += decodedSize
	}
	return min(at, len(raw)-1)
}

// contentStart returns the offset of a string's first character. A line break right after three quotes is not a part
// of the value.
func contentStart(raw string) int {
	if !strings.HasPrefix(raw, `"""`) && !strings.HasPrefix(raw, "'''") {
		return 1
	}
	content := raw[3:]
	content = strings.TrimPrefix(content, "\r")
	content = strings.TrimPrefix(content, "\n")
	return len(raw) - len(content)
}

// escapeSize returns how many bytes the escape sequence at the beginning of text takes, and how many it stands for.
func escapeSize(text string) (rawSize, decodedSize int) {
	switch text[1] {
	case 'x':
		return 4, 1
	case 'u':
		return 6, 1
	case 'U':
		return 10, 1
	case ' ', '\t', '\r', '\n': // a backslash at the end of a line skips all white space up to the next character
		following := strings.TrimLeft(text[1:], " \t\r\n")
		return len(text) - len(following), 0
	}
	return 2, 1
}
