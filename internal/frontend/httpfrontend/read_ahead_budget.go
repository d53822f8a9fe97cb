package httpfrontend

import "sync"

const (
	readAheadStep     = 64 << 10 // bytes that a connection reserves at a time
	maxExtraReadAhead = 1 << 20  // bytes that a connection may reserve
)

// readAheadBudget is memory that all connections share, for what they read ahead beyond maxReadAhead. Without it the
// end of a connection would go unnoticed behind much unread input, and the requests in that input would be forwarded
// though their client has gone.
type readAheadBudget struct {
	mu   sync.Mutex
	left int // bytes
}

// newReadAheadBudget returns a budget of a number of bytes.
func newReadAheadBudget(size int) *readAheadBudget { return &readAheadBudget{left: size} }

// reserve takes readAheadStep bytes and reports whether they were left. A nil budget has none.
func (b *readAheadBudget) reserve() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < readAheadStep {
		return false
	}
	b.left -= readAheadStep
	return true
}

// release returns reserved bytes.
func (b *readAheadBudget) release(size int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += size
}
