package expression

import (
	"errors"
	"fmt"
	"strings"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
)

// SourceError is an error in the text of an expression.
type SourceError struct {
	Offset  int // position of the error, in bytes from the beginning of the text
	Message string
}

// Error returns the message. The caller knows the file and adds the position.
func (e *SourceError) Error() string { return e.Message }

// UnknownName returns the undefined name that the expression uses. It returns "" if the error is a different one.
func (e *SourceError) UnknownName() string {
	name, ok := strings.CutPrefix(e.Message, unknownNamePrefix)
	if !ok {
		return ""
	}
	return name
}

// unknownNamePrefix begins the message about an unknown name, whether it comes from the library or from this package.
const unknownNamePrefix = "unknown name "

// locatedError is an error at a node of the syntax tree. Its location counts runes, not bytes.
type locatedError struct {
	location file.Location
	message  string
}

func newLocatedError(node ast.Node, format string, args ...any) *locatedError {
	return &locatedError{location: node.Location(), message: fmt.Sprintf(format, args...)}
}

// toSourceError converts the error to one whose position in the source text counts bytes.
func (e *locatedError) toSourceError(source string) *SourceError {
	return &SourceError{Offset: byteOffset(source, e.location.From), Message: e.message}
}

// byteOffset returns the offset in bytes of the rune with the given number, counted from 0.
func byteOffset(text string, runes int) int {
	for offset := range text {
		if runes <= 0 {
			return offset
		}
		runes--
	}
	return len(text)
}

// sourceErrorOf converts an error of the library to a SourceError.
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
		const format = "the expression has %d bytes, more than the limit of %d"
		return &SourceError{Message: fmt.Sprintf(format, len(source), MaxSourceBytes)}
	}
	if strings.TrimSpace(source) == "" {
		return &SourceError{Message: "the expression is empty"}
	}
	return nil
}
