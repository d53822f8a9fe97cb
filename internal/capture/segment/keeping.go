package segment

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Limits bound what is kept on disk.
type Limits struct {
	Size  int64         // bytes of a segment, after which another begins
	Age   time.Duration // and after this time
	Total int64         // bytes of all segments; the oldest go first
}

// held is a segment that is on disk.
type held struct {
	number uint64
	size   int64
}

// Names are those of one gateway's segments in a directory that others may share.
type Names string

// NamesOf gives the names for a gateway's own name, of which only letters, digits and some signs are kept.
func NamesOf(gateway string) Names { return Names("decisions-" + SafeName(gateway) + "-") }

// SafeName gives a gateway's name as a part of a file's.
func SafeName(gateway string) string {
	return strings.Map(func(r rune) rune {
		if r < 128 && (unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._", r)) {
			return r
		}
		return '_'
	}, gateway)
}

const suffix = ".segment"

// Name is that of a segment; names sort as the numbers do.
func (n Names) Name(number uint64) string { return fmt.Sprintf("%s%012d%s", string(n), number, suffix) }

// Number is that of a segment's name.
func (n Names) Number(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	digits, ok2 := strings.CutPrefix(digits, string(n))
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, ok && ok2 && err == nil && n.Name(number) == name
}

// due tells whether a segment of a size and age ends. Parts are whole in their segment, so it is asked between two of them.
func (l Limits) due(size int64, age time.Duration) bool { return size >= l.Size || age >= l.Age }

// outdated gives the segments that must go so that another one has room, the oldest first.
func (l Limits) outdated(all []held) (out []held) {
	all = slices.SortedFunc(slices.Values(all), func(a, b held) int { return cmp.Compare(a.number, b.number) })
	total := l.Size
	for _, one := range all {
		total += one.size
	}
	for len(all) > 0 && total > l.Total {
		out, total, all = append(out, all[0]), total-all[0].size, all[1:]
	}
	return out
}

// pause is for how long nothing is tried after so many failures in a row: a full disk is not asked every second.
func pause(failures int) time.Duration {
	return min(time.Second<<min(failures-1, 10), mostPause)
}

const mostPause = time.Minute
