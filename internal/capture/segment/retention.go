package segment

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound the segments on disk.
type Limits struct {
	Size  int64         // size in bytes at which a segment is full
	Age   time.Duration // age at which a segment is full
	Total int64         // maximum size of all segments in bytes; the oldest are removed first
}

// file is a segment on disk. Its size is in bytes.
type file struct {
	number uint64
	size   int64
}

// full reports whether a segment of this size in bytes and this age is full. It is called between two parts only, so
// that a segment holds whole parts.
func (l Limits) full(size int64, age time.Duration) bool { return size >= l.Size || age >= l.Age }

// outdated returns the segments that must be removed to make room for another one, the oldest first.
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

// maxBackoff is the maximum pause after a failure.
const maxBackoff = time.Minute

// backoff returns the time for which nothing is written after this number of failures in a row. It is one
// second after the first failure and doubles with each further one, up to maxBackoff, so that a full disk is not tried
// every second.
func backoff(failures int) time.Duration {
	const maxDoublings = 10
	return min(time.Second<<min(failures-1, maxDoublings), maxBackoff)
}
