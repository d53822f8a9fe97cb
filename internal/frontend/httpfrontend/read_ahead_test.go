package httpfrontend

import (
	"net"
	"testing"
	"time"
)

// The input of a client that sends without end is buffered up to maxReadAhead plus the size of one read.
func TestReadAheadIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	a := newReadAhead(near)
	go a.run()
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
	a.discard() // as connTracker does before it closes a connection, since run may be waiting for space in the buffer
	near.Close()
	<-a.ended
}
