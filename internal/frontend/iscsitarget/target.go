// Package iscsitarget is the gateway's front for clients that speak iSCSI: a target after RFC 7143 whose READs
// and WRITEs go through the same core as the platform's requests. README.md lists the subset.
package iscsitarget

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// Loop decides on exchanges.
type Core interface {
	Open(*exchange.Exchange)
}

// Translator words a command for the nodes and reads what they reply.
type Translator interface {
	Request(q scheduler.Request, c *iscsi.Command) (payload any, err error)
	Data(reply any) ([]byte, error)
}

// Unit is a logical unit and what the decisions need to know of it.
type Unit struct {
	LUN        uint16
	Volume     string
	Plan       int
	ReadClass  int
	WriteClass int
	Shard      int
	Hosts      int
	BlockSize  uint32
	Blocks     uint64
	UnitBytes  int // bytes that count as one unit of size
}

// Options are what a Target needs.
type Options struct {
	Name       string // of the target
	Units      []Unit
	Classes    []scheduler.Class
	Plans      []scheduler.Plan
	Rules      *engine.Engine      // nil: no limits
	Contracts  *contracts.Registry // nil: none
	Sessions   int                 // most at a time
	Depth      int                 // most commands outstanding in a session
	Loop       Core
	Translator Translator
	NewID      func() string // names a request; never twice the same
	Log        *slog.Logger
}

const (
	loginTime = 2500 * time.Millisecond // for a login to be done
	writeTime = 10 * time.Second        // for a PDU to go out
	pingAfter = 20 * time.Second        // silence after which a session is pinged; twice it ends one that is half open
	goodbye   = 2 * time.Second         // for a client to log out when the target stops

	acceptPause = 50 * time.Millisecond // after a connection that could not be taken
)

// Target serves sessions. It owns their connections: each is closed where its session's goroutine ends.
type Target struct {
	Options
	units map[uint16]*Unit

	mu       sync.Mutex
	sessions map[*session]bool
	stopping bool
	lastTSIH uint16
	wait     sync.WaitGroup
}

// New makes a Target.
func New(o Options) *Target {
	t := &Target{Options: o, units: map[uint16]*Unit{}, sessions: map[*session]bool{}}
	for i := range o.Units {
		t.units[o.Units[i].LUN] = &o.Units[i]
	}
	return t
}

// Serve takes connections from l until it is closed. Running out of descriptors for a moment must not end the
// gateway, so it tries again after any other fault.
func (t *Target) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.Log.Warn("iscsi connection not taken", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s := newSession(t, conn)
		if !t.enter(s) {
			conn.Close()
			continue
		}
		go func() {
			defer t.exit(s)
			s.run()
		}()
	}
}

// enter counts a session. A few beyond the limit are let in to be told so in the terms of a login. Where those are
// used up, the one that has been in its login for longest makes room: connections that say nothing shut nobody out.
func (t *Target) enter(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false
	}
	if len(t.sessions) >= 2*t.Sessions {
		var oldest *session
		for other := range t.sessions {
			if other.tsih == 0 && (oldest == nil || other.began.Before(oldest.began)) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		oldest.end()
		delete(t.sessions, oldest)
	}
	s.refused = len(t.sessions) >= t.Sessions
	t.sessions[s] = true
	t.wait.Add(1)
	return true
}

func (t *Target) exit(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	t.wait.Done()
}

// open counts a session as logged in. Another that its initiator has left behind, under the same ISID, ends: its
// connection may be half open, and the initiator has taken its place. Its TSIH is drawn here.
func (t *Target) open(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other := range t.sessions {
		if other != s && other.tsih != 0 && other.isid == s.isid && other.params.InitiatorName == s.params.InitiatorName {
			other.end()
		}
	}
	if t.lastTSIH++; t.lastTSIH == 0 { // 0 asks for a new session
		t.lastTSIH = 1
	}
	s.tsih = t.lastTSIH
}

// Shutdown asks every client to log out and waits until all sessions have ended: at once where nothing is
// outstanding and, for the rest, when what is outstanding has its answer or ctx ends.
func (t *Target) Shutdown(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	for s := range t.sessions {
		if s.tsih == 0 { // still in its login
			s.end()
			continue
		}
		go s.askLogout()
	}
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		t.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	t.mu.Lock()
	for s := range t.sessions {
		s.end()
	}
	t.mu.Unlock()
	<-done
}

// request gives the facts of a command on a unit.
func (u *Unit) request(id string, c *iscsi.Command) scheduler.Request {
	class := u.ReadClass
	if c.Write {
		class = u.WriteClass
	}
	units := max(1, (c.Length()+u.UnitBytes-1)/u.UnitBytes)
	return scheduler.Request{ID: id, Class: class, Plan: u.Plan, Volume: u.Volume, Key: fmt.Sprintf("%016x", c.LBA),
		Units: float64(units), Shard: u.Shard, Hosts: u.Hosts}
}

// Native is the Translator for nodes that speak iSCSI themselves.
type Native struct{}

// Request passes the command on.
func (Native) Request(_ scheduler.Request, c *iscsi.Command) (any, error) { return c, nil }

// Data gives what a node read.
func (Native) Data(reply any) ([]byte, error) {
	r, ok := reply.(*iscsi.Reply)
	if !ok {
		return nil, fmt.Errorf("reply %T is not of a node that speaks iSCSI", reply)
	}
	return r.Data, nil
}
