package eventloop

import "sync"

// mailbox is the queue of events for the loop. Posting never blocks. The number of events is bounded nevertheless, as
// frontends hold a bounded number of exchanges, each with a bounded number of attempts.
//
// An event is a function that the loop calls. It carries its own arguments, so that the method that posts a kind of
// event also says how it is handled.
type mailbox struct {
	mu     sync.Mutex
	events []func()
	wake   chan struct{} // receives a value when there are new events
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// post adds an event and wakes the loop.
func (m *mailbox) post(event func()) {
	m.mu.Lock()
	m.events = append(m.events, event)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// take removes and returns all events.
func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = nil
	return events
}
