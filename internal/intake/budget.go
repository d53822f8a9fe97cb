package intake

import (
	"sync"
	"time"
)

const (
	// OwnBytes is the part of each account that does not count against the budget. A usual request fits into it, so
	// that clients with large or unfinished requests keep no others out.
	OwnBytes = 4 << 10
	// maxAccountDivisor bounds the part of the budget that one account may hold, to a quarter.
	maxAccountDivisor = 4

	// minArrivalRate is the rate, in bytes a second, below which a request that is still arriving may lose its memory to
	// others. Clients may send at twice this rate.
	minArrivalRate = 32 << 10
	// arrivalGrace is the time that any request has before its rate counts.
	arrivalGrace = 500 * time.Millisecond
)

// What a parsed request needs beyond its text, in bytes.
const (
	RequestBytes = 1536
	FieldBytes   = 96 // of each field
)

// Budget is the memory that the requests of all connections may hold together.
type Budget struct {
	size int // bytes

	mu       sync.Mutex
	left     int               // bytes
	lacked   int64             // reservations for which there were no bytes
	evicted  int64             // requests that had to make room for others
	arriving map[*Account]bool // accounts that hold a part of the budget while a request arrives
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(size int) *Budget {
	return &Budget{size: size, left: size, arriving: map[*Account]bool{}}
}

// Left returns how many bytes are free.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Account is the memory that the requests of one connection hold. Its methods may be called from any goroutine.
type Account struct {
	budget *Budget
	evict  func()

	// The budget's lock guards the fields below.

	held      int       // bytes, with the free part
	arrivesAt time.Time // since when the current request has been arriving; zero: none is
	arrived   int       // bytes of it
	evicted   bool
	closed    bool
}

// Open returns an account that holds nothing. The budget calls evict, in a goroutine of its own and at most once, if
// the account's request arrives so slowly that it has to make room for others; its owner then gives up the request.
func (b *Budget) Open(evict func()) *Account { return &Account{budget: b, evict: evict} }

// shared returns how much of a number of held bytes counts against the budget.
func shared(held int) int { return max(0, held-OwnBytes) }

// Reserve takes a number of bytes and reports whether they were free. If they are not, it evicts the slowest request
// that is arriving, so that a later call may succeed.
func (a *Account) Reserve(size int) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := shared(a.held+size) - shared(a.held)
	if a.closed {
		return false
	}
	if more == 0 {
		a.held += size
		return true
	}
	if shared(a.held+size) > b.size/maxAccountDivisor {
		b.lacked++
		return false
	}
	if more > b.left {
		b.lacked++
		b.evictSlowestLocked(time.Now())
		return false
	}
	a.held += size
	b.left -= more
	a.updateArrivingLocked()
	return true
}

// Bounds of a wait for memory.
const (
	// MaxWait bounds how long a request waits for memory.
	MaxWait = 250 * time.Millisecond
	// WaitInterval is the time between two attempts to get it.
	WaitInterval = 10 * time.Millisecond
)

// Await takes a number of bytes. If they are not free, it waits for them, for MaxWait at most and not any longer once
// giveUp returns true. It reports whether it has got them.
func (a *Account) Await(size int, giveUp func() bool) bool {
	for until := time.Now().Add(MaxWait); !a.Reserve(size); time.Sleep(WaitInterval) {
		if giveUp() || time.Now().After(until) {
			return false
		}
	}
	return true
}

// Release gives back a number of bytes.
func (a *Account) Release(size int) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.releaseLocked(size)
}

// releaseLocked gives back a number of bytes, at most those that are held.
func (a *Account) releaseLocked(size int) {
	size = min(size, a.held)
	a.budget.left += shared(a.held) - shared(a.held-size)
	a.held -= size
	a.updateArrivingLocked()
}

// Close gives back everything. The account may not be used any more.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closed = true
	a.arrivesAt = time.Time{}
	a.releaseLocked(a.held)
}

// Held returns how many bytes the account holds, with its free part.
func (a *Account) Held() int {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Arriving records how much of the current request has arrived, and since when it has been arriving.
func (a *Account) Arriving(since time.Time, bytes int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.arrivesAt.Equal(since) {
		a.evicted = false
	}
	a.arrivesAt = since
	a.arrived = bytes
	a.updateArrivingLocked()
}

// Complete records that no request is arriving.
func (a *Account) Complete() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.arrivesAt = time.Time{}
	a.updateArrivingLocked()
}

// updateArrivingLocked keeps the account among those that can be evicted while it holds a part of the budget for a
// request that is arriving.
func (a *Account) updateArrivingLocked() {
	if a.arrivesAt.IsZero() || shared(a.held) == 0 {
		delete(a.budget.arriving, a)
		return
	}
	a.budget.arriving[a] = true
}

// evictSlowestLocked evicts, of the requests that arrive more slowly than minArrivalRate, the one that has been arriving
// for longest.
func (b *Budget) evictSlowestLocked(now time.Time) {
	var slowest *Account
	for a := range b.arriving {
		if a.evicted || !a.slow(now) {
			continue
		}
		if slowest == nil || a.arrivesAt.Before(slowest.arrivesAt) {
			slowest = a
		}
	}
	if slowest != nil {
		slowest.evicted = true
		b.evicted++
		go slowest.evict()
	}
}

// slow reports whether the current request arrives more slowly than minArrivalRate.
func (a *Account) slow(now time.Time) bool {
	age := now.Sub(a.arrivesAt)
	return age > arrivalGrace && float64(a.arrived) < minArrivalRate*age.Seconds()
}
