package expression

import (
	"errors"
	"fmt"
	"strings"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
)

// SourceError reports what is wrong with the text of an expression, and where.
type SourceError struct {
	Offset  int // in bytes from the beginning of the text
	Message string
}

// Error returns the message. The caller knows the file and adds the position.
func (e *SourceError) Error() string { return e.Message }

// UnknownName returns the name that the expression uses and nothing defines; empty if the error is another one.
func (e *SourceError) UnknownName() string {
	name, ok := strings.CutPrefix(e.Message, unknownNamePrefix)
	if !ok {
		return ""
	}
	return name
}

// unknownNamePrefix begins the message about an unknown name, both the library's and this package's.
const unknownNamePrefix = "unknown name "

// locatedError is an error at a node of the syntax tree, whose location counts runes.
type locatedError struct {
	location file.Location
	message  string
}

func newLocatedError(node ast.Node, format string, args ...any) *locatedError {
	return &locatedError{location: node.Location(), message: fmt.Sprintf(format, args...)}
}

// in converts the error to one at a byte of the source text.
func (e *locatedError) in(source string) *SourceError {
	return &SourceError{Offset: byteOffset(source, e.location.From), Message: e.message}
}

// byteOffset returns the offset in bytes of a rune of the text.
func byteOffset(text string, runes int) int {
	for offset := range text {
		if runes <= 0 {
			return offset
		}
		runes--
	}
	return len(text)
}

// sourceErrorOf converts an error of the library.
func sourceErrorOf(err error, source string) error {
	var located *file.Error
	if errors.As(err, &located) {
		return &SourceError{Offset: byteOffset(source, located.From), Message: located.Message}
	}
	return &SourceError{Message: err.Error()}
}

// checkSource rejects text that is too long or empty before the library parses it.
func checkSource(source string) error {
	if len(source) > MaxSourceBytes {
		const format = "the expression has %d characters, more than %d"
		return &SourceError{Message: fmt.Sprintf(format, len(source), MaxSourceBytes)}
	}
	if strings.TrimSpace(source) == "" {
		return &SourceError{Message: "the expression is empty"}
	}
	return nil
}
