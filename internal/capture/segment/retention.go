package segment

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound the segments on disk.
type Limits struct {
	Size  int64         // bytes of a segment, after which the next one begins
	Age   time.Duration // time after which the next one begins
	Total int64         // bytes of all segments; the oldest are removed first
}

// file is a segment on disk.
type file struct {
	number uint64
	size   int64
}

// full reports whether a segment of this size and age ends. It is asked between two parts only, so that a segment holds
// whole parts.
func (l Limits) full(size int64, age time.Duration) bool { return size >= l.Size || age >= l.Age }

// outdated returns the segments that must be removed so that another one fits, the oldest first.
func (l Limits) outdated(files []file) (outdated []file) {
	byNumber := func(a, b file) int { return cmp.Compare(a.number, b.number) }
	files = slices.SortedFunc(slices.Values(files), byNumber)
	total := l.Size
	for _, f := range files {
		total += f.size
	}
	for _, f := range files {
		if total <= l.Total {
			break
		}
		outdated = append(outdated, f)
		total -= f.size
	}
	return outdated
}

const maxBackoff = time.Minute

// backoff returns how long nothing is written after so many failures in a row. It doubles with each, so that a full
// disk is not tried every second.
func backoff(failures int) time.Duration {
	const maxDoublings = 10
	return min(time.Second<<min(failures-1, maxDoublings), maxBackoff)
}
