package gracefulclose

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const testTimeout = 10 * time.Second

// A write to a peer that does not read ends at the first timeout at which it is not extended.
func TestWriteEndsUnlessExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		defer near.Close()
		startedAt := time.Now()
		asked := 0
		n, err := Write(near, []byte("hello"), testTimeout, func() bool {
			asked++
			return asked < 3
		})
		if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes written, error %v, want none and a timeout", n, err)
		}
		if took := time.Since(startedAt); took != 3*testTimeout {
			t.Errorf("the write took %v, want %v", took, 3*testTimeout)
		}
	})
}

// A peer that reads again after a timeout gets every byte once.
func TestExtendedWriteContinuesWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		received := make(chan string)
		go func() {
			first := make([]byte, 2)
			io.ReadFull(far, first)
			time.Sleep(testTimeout + time.Second)
			rest, _ := io.ReadAll(far)
			received <- string(first) + string(rest)
		}()
		n, err := Write(near, []byte("hello"), testTimeout, func() bool { return true })
		near.Close()
		if got := <-received; got != "hello" || n != 5 || err != nil {
			t.Errorf("the peer received %q, %d bytes written, error %v; want all of %q", got, n, err, "hello")
		}
	})
}

// Discard reads at a bounded rate.
func TestDiscardIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			far.Write(make([]byte, 1<<20))
		}()
		startedAt := time.Now()
		Discard(near)
		near.Close()
		if took := time.Since(startedAt); took < time.Second {
			t.Errorf("1 MiB was read in %v, want at least 1s", took)
		}
	})
}
