package socketpeek

import (
	"net"
	"testing"
	"time"
)

// socketPair returns both ends of a TCP connection.
func socketPair(t *testing.T) (near, far net.Conn) {
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
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

func TestReady(t *testing.T) {
	for _, c := range []struct {
		name    string
		trigger func(far net.Conn)
	}{
		{name: "data", trigger: func(far net.Conn) { far.Write([]byte("x")) }},
		{name: "end of the connection", trigger: func(far net.Conn) { far.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := socketPair(t)
			if Ready(near) {
				t.Error("ready before anything was sent")
			}
			c.trigger(far)
			for end := time.Now().Add(10 * time.Second); !Ready(near); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("not ready within 10s")
				}
			}
		})
	}
	t.Run("during a read", func(t *testing.T) {
		near, _ := socketPair(t)
		reading := make(chan bool)
		go func() {
			close(reading)
			near.Read(make([]byte, 1))
		}()
		<-reading
		time.Sleep(10 * time.Millisecond)
		if Ready(near) {
			t.Error("ready during a read, without any input")
		}
	})
	t.Run("not a socket", func(t *testing.T) {
		if pipe, _ := net.Pipe(); Ready(pipe) {
			t.Error("a net.Pipe, which is no socket, is ready")
		}
	})
}
