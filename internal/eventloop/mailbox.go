package eventloop

import "sync"

// mailbox carries events into the loop. Posting never blocks: what limits its length is that fronts hold a
// bounded number of exchanges, each with a bounded number of attempts.
type mailbox struct {
	mu     sync.Mutex
	events []func()
	wake   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) post(event func()) {
	m.mu.Lock()
	m.events = append(m.events, event)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take empties the box.
func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = nil
	return events
}
