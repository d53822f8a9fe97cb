package socketpeek

import (
	"net"
	"testing"
	"time"
)

// pair gives both ends of a connection; only a socket has something to look at.
func pair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func TestReady(t *testing.T) {
	for name, act := range map[string]func(far net.Conn){
		"bytes":  func(far net.Conn) { far.Write([]byte("x")) },
		"an end": func(far net.Conn) { far.Close() },
	} {
		near, far := pair(t)
		if Ready(near) {
			t.Errorf("%s: ready before", name)
		}
		act(far)
		for end := time.Now().Add(10 * time.Second); !Ready(near); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not ready", name)
			}
		}
	}
	// A look must not wait for a read that is under way.
	near, _ := pair(t)
	reading := make(chan bool)
	go func() {
		close(reading)
		near.Read(make([]byte, 1))
	}()
	<-reading
	time.Sleep(10 * time.Millisecond)
	if Ready(near) {
		t.Error("ready under a read")
	}
	if pipe, _ := net.Pipe(); Ready(pipe) {
		t.Error("a pipe is ready")
	}
}
