package segment

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// Names is the prefix of the file names of one gateway's segments. Gateways with different names may share a directory.
type Names string

// NamesOf returns the Names for a gateway's own name.
func NamesOf(gateway string) Names { return Names("decisions-" + SafeName(gateway) + "-") }

// SafeName returns a gateway's name as a part of a file name: only letters, digits and some signs stay.
func SafeName(gateway string) string {
	return strings.Map(func(r rune) rune {
		if r < 128 && (unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._", r)) {
			return r
		}
		return '_'
	}, gateway)
}

const suffix = ".segment"

// File returns the file name of a segment. File names sort as their numbers do.
func (n Names) File(number uint64) string { return fmt.Sprintf("%s%012d%s", string(n), number, suffix) }

// Number returns the number of a segment by its file name. It returns false for any other file.
func (n Names) Number(file string) (uint64, bool) {
	digits, hasSuffix := strings.CutSuffix(file, suffix)
	digits, hasPrefix := strings.CutPrefix(digits, string(n))
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, hasSuffix && hasPrefix && err == nil && n.File(number) == file
}
