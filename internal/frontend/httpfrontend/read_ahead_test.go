package httpfrontend

import (
	"net"
	"testing"
	"time"
)

// The input of a client that sends without end is buffered up to maxReadAhead plus the size of one read.
func TestReadAheadIsBounded(t *testing.T) {
	a, far := startReadAhead(t, nil)
	go func() {
		for {
			if _, err := far.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}()
	full := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.buffered > maxReadAhead+pooledBufferSize {
			t.Fatalf("%d bytes are buffered, want at most %d", a.buffered, maxReadAhead+pooledBufferSize)
		}
		return a.buffered >= maxReadAhead
	}
	for !full() {
		time.Sleep(time.Millisecond)
	}
	for read := 0; read < 4<<20; {
		n, err := a.Read(make([]byte, 4<<10))
		if err != nil {
			t.Fatalf("Read after %d bytes: got error %v, want none", read, err)
		}
		read += n
		full()
	}
}

// Guards against a client whose end goes unnoticed behind more than maxReadAhead of unread requests, which would then
// be forwarded though the client has gone.
func TestEndIsNoticedBehindMuchInput(t *testing.T) {
	budget := newReadAheadBudget(4 * readAheadStep)
	a, far := startReadAhead(t, budget)
	if _, err := far.Write(make([]byte, 3*readAheadStep)); err != nil {
		t.Fatal(err)
	}
	far.Close()
	select {
	case <-a.ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the end of the connection is not noticed")
	}
	if budget.left != 4*readAheadStep {
		t.Errorf("%d bytes of the budget are left after the end, want all of %d", budget.left, 4*readAheadStep)
	}
}

// Connections share the budget: together they hold no more than it allows, and one that has read what it got gives its
// reservation back.
func TestReadAheadBudgetIsShared(t *testing.T) {
	budget := newReadAheadBudget(2 * readAheadStep)
	var inputs []*readAhead
	for range 3 {
		a, far := startReadAhead(t, budget)
		inputs = append(inputs, a)
		go far.Write(make([]byte, 8*readAheadStep))
	}
	held := func() (extra, full int) {
		for _, a := range inputs {
			a.mu.Lock()
			extra += max(0, a.buffered-maxReadAhead-pooledBufferSize)
			if a.buffered >= maxReadAhead {
				full++
			}
			a.mu.Unlock()
		}
		return extra, full
	}
	for full := 0; full < len(inputs); {
		var extra int
		if extra, full = held(); extra > 2*readAheadStep {
			t.Fatalf("%d bytes are held beyond the parts of the connections, want at most %d", extra, 2*readAheadStep)
		}
		time.Sleep(time.Millisecond)
	}
	for _, a := range inputs {
		for read := 0; read < 8*readAheadStep; {
			n, err := a.Read(make([]byte, 4<<10))
			if err != nil {
				t.Fatal(err)
			}
			read += n
		}
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.left != 2*readAheadStep {
		t.Errorf("%d bytes of the budget are left, want all of %d", budget.left, 2*readAheadStep)
	}
}

// startReadAhead returns a running readAhead and the other end of its connection, which are closed at the end of the
// test.
func startReadAhead(t *testing.T, budget *readAheadBudget) (*readAhead, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	a := newReadAhead(near, budget)
	go a.run()
	t.Cleanup(func() {
		a.discard() // as connTracker does before it closes a connection: run may be waiting for space in the buffer
		near.Close()
		far.Close()
		<-a.ended
	})
	return a, far
}
