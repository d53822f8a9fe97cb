package configfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span holds the positions of a key and its value, as offsets in bytes.
type span struct {
	key   int // first byte of the key
	value int // first byte of the value; 0 for a table
	end   int // first byte after the value; 0 for a table
}

// indexKeys records the position of each key. It does not check for parser errors, as the text has been parsed before.
func (d *Document) indexKeys() {
	parser := unstable.Parser{}
	parser.Reset(d.text)
	prefix := ""
	elements := map[string]int{} // number of elements so far, by key of the list of tables
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

// indexTable records the position of a table's header and returns the table's dotted key, with indices for elements of
// lists.
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

// indexKeyValue records the positions of a key, of each part of it if it is dotted, and of all keys in its value.
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

// indexValue records the position of a value and of all keys and elements in it.
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

// indexArray records the positions of an array's elements and of all keys in them.
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

// recordFirst records the position of a key unless an earlier position is recorded.
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

// rawOffset converts an offset in a string's decoded value to an offset in its TOML source, which has quotes and escape
// sequences.
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

// contentStart returns the offset of the first character of a string's value in its TOML source. A line break directly
// after three opening quotes is not part of the value.
func contentStart(raw string) int {
	if !strings.HasPrefix(raw, `"""`) && !strings.HasPrefix(raw, "'''") {
		return 1
	}
	content := raw[3:]
	content = strings.TrimPrefix(content, "\r")
	content = strings.TrimPrefix(content, "\n")
	return len(raw) - len(content)
}

// escapeSize returns the size in bytes of the escape sequence at the beginning of text, and that of its decoded value,
// where each character counts as one byte, even one that takes more in UTF-8.
func escapeSize(text string) (rawSize, decodedSize int) {
	switch text[1] {
	case 'x':
		return 4, 1
	case 'u':
		return 6, 1
	case 'U':
		return 10, 1
	case ' ', '\t', '\r', '\n':
		// A backslash at the end of a line removes the white space up to the next character that is not white space.
		following := strings.TrimLeft(text[1:], " \t\r\n")
		return len(text) - len(following), 0
	}
	return 2, 1
}
