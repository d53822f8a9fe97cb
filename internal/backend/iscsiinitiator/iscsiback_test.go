package iscsiinitiator

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

type everywhere struct{}

func (everywhere) Lookup(string) discovery.Endpoint {
	return discovery.Endpoint{Address: "n:1", Up: true}
}

// breaking is a connection whose node lets the gateway in, takes a command and closes before the write of it returns,
// or takes none of it.
type breaking struct {
	net.Conn
	far   net.Conn
	takes bool
}

func (b *breaking) Write(p []byte) (int, error) {
	switch iscsi.Opcode(p[0] & 0x3f) {
	case iscsi.LoginRequest:
		a := iscsi.New(iscsi.LoginResponse, iscsi.Transit|iscsi.FullFeature).Set(iscsi.ExpCmdSN, 1).Set(iscsi.MaxCmdSN, 9)
		binary.BigEndian.PutUint16(a.Header[36:], uint16(iscsi.LoginOK))
		go b.far.Write(a.Bytes())
	case iscsi.SCSICommand:
		b.far.Close()
		time.Sleep(time.Second) // the session hears of the end first
		if !b.takes {
			return 0, net.ErrClosed
		}
	}
	return len(p), nil
}

// The connection breaks while a command is written. Once all of it is out it may have run, though the writer cannot
// know yet; a fault of the write itself is no proof that nothing ran, as the session may be gone by then.
func TestBrokenWhileACommandIsWritten(t *testing.T) {
	for takes, want := range map[bool]scheduler.Result{true: scheduler.ConnectionReset, false: scheduler.ConnectionReset} {
		synctest.Test(t, func(t *testing.T) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				return &breaking{near, far, takes}, nil
			}
			b := New(Options{Directory: everywhere{}, Sockets: 1, Dial: dial, Log: slog.New(slog.DiscardHandler),
				Allowed: scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Second}})
			x := exchange.New(scheduler.Request{}, time.Now().Add(time.Minute), &iscsi.Command{Blocks: 1, BlockSize: 512})
			got := make(chan scheduler.Result, 1)
			b.Start(t.Context(), eventloop.Attempt{Exchange: x, Node: "n", Deadline: x.Deadline},
				func(r eventloop.Report) { got <- r.Result })
			if r := <-got; r != want {
				t.Errorf("takes %v: result %v, want %v", takes, r, want)
			}
			time.Sleep(2 * time.Second)
		})
	}
}
