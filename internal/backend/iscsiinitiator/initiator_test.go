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

// oneNode is a directory in which every node is up at the same address.
type oneNode struct{}

func (oneNode) Lookup(string) discovery.Endpoint {
	return discovery.Endpoint{Address: "n:1", Up: true}
}

// breakingConn is a connection whose node accepts the login and closes before the write of a command returns.
// If writeSucceeds is set, that write returns no error.
type breakingConn struct {
	net.Conn
	far           net.Conn
	writeSucceeds bool
}

func (b *breakingConn) Write(p []byte) (int, error) {
	switch iscsi.Opcode(p[0] & 0x3f) {
	case iscsi.LoginRequest:
		response := iscsi.NewPDU(iscsi.LoginResponse, iscsi.Transit|iscsi.FullFeature)
		response.Set(iscsi.ExpCmdSN, 1).Set(iscsi.MaxCmdSN, 9)
		binary.BigEndian.PutUint16(response.Header[loginStatusWord:], uint16(iscsi.LoginOK))
		go b.far.Write(response.Bytes())
	case iscsi.SCSICommand:
		b.far.Close()
		time.Sleep(time.Second) // the session notices the end of the connection before the write returns
		if !b.writeSucceeds {
			return 0, net.ErrClosed
		}
	}
	return len(p), nil
}

// The connection breaks while a command is written. The attempt must end as ConnectionReset, whether the write succeeds
// or fails. Once all of the command is sent, it may have run, although the call of Write has not returned. A failed
// write does not prove that the command did not run either: the session may end, and report on the command, before the
// write fails.
func TestConnectionBreaksDuringCommandWrite(t *testing.T) {
	for name, writeSucceeds := range map[string]bool{"write succeeds": true, "write fails": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				initiator := New(Options{
					Directory:   oneNode{},
					Allowed:     scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Second},
					MaxSessions: 1,
					Dial: func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						return &breakingConn{Conn: near, far: far, writeSucceeds: writeSucceeds}, nil
					},
					Log: slog.New(slog.DiscardHandler),
				})
				command := &iscsi.Command{Blocks: 1, BlockSize: 512}
				x := exchange.New(scheduler.Request{}, time.Now().Add(time.Minute), command)
				attempt := eventloop.Attempt{Exchange: x, Node: "n", Deadline: x.Deadline}
				reported := make(chan eventloop.Report, 1)
				initiator.Start(t.Context(), attempt, func(report eventloop.Report) { reported <- report })
				if report := <-reported; report.Result != scheduler.ConnectionReset {
					t.Errorf("result %v, want %v", report.Result, scheduler.ConnectionReset)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}
