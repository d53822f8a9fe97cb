package iscsitarget

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/exchange"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// Loop is the event loop that decides on exchanges.
type Loop interface {
	// Open hands over an exchange; the loop finishes it once its answer is known.
	Open(*exchange.Exchange)
}

// Options configure a Target.
type Options struct {
	Name       string // iSCSI name of the target
	Units      []Unit
	Classes    []scheduler.Class
	Plans      []scheduler.Plan
	Rules      *engine.Engine      // nil: no limits
	Contracts  *contracts.Registry // nil: no contracts
	Sessions   int                 // maximum number of sessions
	Depth      int                 // maximum number of outstanding commands in a session
	Loop       Loop
	Translator Translator
	NewID      func() string // makes the ID of a request, each time another one
	Log        *slog.Logger
}

const (
	loginTimeout     = 2500 * time.Millisecond // for a login to complete
	writeTimeout     = 10 * time.Second        // for a PDU to be written to the socket
	pingInterval     = 20 * time.Second        // silence until a client is pinged; after twice that its session ends
	logoutTimeout    = 2 * time.Second         // for a client to log out when the target stops
	acceptRetryDelay = 50 * time.Millisecond   // after a failure to accept a connection
)

// Target accepts connections and serves a session on each. It owns the connections: each is closed in session.run.
type Target struct {
	options Options
	units   map[uint16]*Unit // by LUN

	mu       sync.Mutex // guards the fields below
	sessions map[*session]bool
	stopping bool
	lastTSIH uint16
	wait     sync.WaitGroup // one for each session that was added
}

// New returns a Target.
func New(o Options) *Target {
	t := &Target{
		options:  o,
		units:    make(map[uint16]*Unit, len(o.Units)),
		sessions: map[*session]bool{},
	}
	for i := range o.Units {
		t.units[o.Units[i].LUN] = &o.Units[i]
	}
	return t
}

// Serve accepts connections until the listener is closed. It retries after any other error, since a lack of
// descriptors is temporary.
func (t *Target) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.options.Log.Warn("iSCSI connection not accepted", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s := newSession(t, conn)
		if !t.add(s) {
			conn.Close()
			continue
		}
		go func() {
			defer t.remove(s)
			s.run()
		}()
	}
}

// add adds a session to the table. Up to Options.Sessions sessions beyond the limit are added, so that a Login
// Response can tell their clients of it. Beyond those, the session that has been in its login for longest is evicted:
// clients that connect and send nothing must not keep others out.
func (t *Target) add(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false
	}
	if len(t.sessions) >= 2*t.options.Sessions {
		oldest := t.oldestLoginLocked()
		if oldest == nil {
			return false
		}
		oldest.cancel()
		delete(t.sessions, oldest)
	}
	s.overLimit = len(t.sessions) >= t.options.Sessions
	t.sessions[s] = true
	t.wait.Add(1)
	return true
}

// oldestLoginLocked returns the session that has been in its login for longest; nil if there is none.
func (t *Target) oldestLoginLocked() *session {
	var oldest *session
	for s := range t.sessions {
		if s.tsih == 0 && (oldest == nil || s.startedAt.Before(oldest.startedAt)) {
			oldest = s
		}
	}
	return oldest
}

// remove removes a session that has ended.
func (t *Target) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	t.wait.Done()
}

// register gives a session that has logged in its TSIH. It ends another session of the same initiator under the same
// ISID, whose connection may be half open (session reinstatement, section 6.3.5).
func (t *Target) register(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other := range t.sessions {
		if other != s && other.tsih != 0 && other.isSameNexus(s) {
			other.cancel()
		}
	}
	t.lastTSIH++
	if t.lastTSIH == 0 { // 0 in a Login Request asks for a new session
		t.lastTSIH = 1
	}
	s.tsih = t.lastTSIH
}

// Shutdown asks all clients to log out and waits until all sessions have ended. A session ends once nothing is
// outstanding in it, and at the latest when ctx ends.
func (t *Target) Shutdown(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	for s := range t.sessions {
		if s.tsih == 0 { // still in its login
			s.cancel()
			continue
		}
		go s.requestLogout()
	}
	t.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		t.wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	t.mu.Lock()
	for s := range t.sessions {
		s.cancel()
	}
	t.mu.Unlock()
	<-ended
}
