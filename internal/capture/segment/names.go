package segment

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// FilePrefix is the common prefix of the file names of one gateway's segments. Gateways may share a directory if
// SafeName returns different names for them.
type FilePrefix string

// FilePrefixOf returns the FilePrefix of the gateway with this name.
func FilePrefixOf(gateway string) FilePrefix {
	return FilePrefix("decisions-" + SafeName(gateway) + "-")
}

// SafeName returns a gateway's name in a form that can be part of a file name: every character other than an ASCII
// letter, a digit, a dot or an underscore is replaced by an underscore.
func SafeName(gateway string) string {
	return strings.Map(func(r rune) rune {
		if r < 128 && (unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._", r)) {
			return r
		}
		return '_'
	}, gateway)
}

const suffix = ".segment"

// File returns the file name of the segment with this number. File names sort in the order of their numbers.
func (n FilePrefix) File(number uint64) string {
	return fmt.Sprintf("%s%012d%s", string(n), number, suffix)
}

// Number returns the number of the segment with this file name. It returns false if the file is not a segment of the
// gateway.
func (n FilePrefix) Number(file string) (uint64, bool) {
	digits, hasSuffix := strings.CutSuffix(file, suffix)
	digits, hasPrefix := strings.CutPrefix(digits, string(n))
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, hasSuffix && hasPrefix && err == nil && n.File(number) == file
}
