package iscsitarget

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/exchange"
	"reachpulley/internal/intake"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// Loop is the event loop that carries out exchanges.
type Loop interface {
	// Open passes an exchange to the loop, which finishes it once the answer is known.
	Open(*exchange.Exchange)
}

// Options configure a Target.
type Options struct {
	Name        string // iSCSI name of the target
	Units       []Unit
	Classes     []scheduler.Class
	Plans       []scheduler.Plan
	Rules       *engine.Engine      // nil: no limits
	Contracts   *contracts.Registry // nil: no contracts
	MaxSessions int                 // maximum number of sessions
	MaxTasks    int                 // maximum number of outstanding commands in a session
	Resources   *intake.Resources   // for commands until they are answered; nil: as much as they need
	Loop        Loop
	Translator  Translator
	NewID       func() string // returns the ID of a request, a different one on each call
	Log         *slog.Logger
}

const (
	loginTimeout     = 2500 * time.Millisecond // time within which a login must be complete
	writeTimeout     = 10 * time.Second        // time within which a PDU must be written to the socket
	pingInterval     = 20 * time.Second        // silence until a client is pinged; its session ends after twice that
	logoutTimeout    = 2 * time.Second         // time that a client has to log out when the target stops
	acceptRetryDelay = 50 * time.Millisecond   // pause after a connection could not be accepted
)

// Target accepts connections and serves a session on each. It owns the connections, which session.run closes.
type Target struct {
	options Options
	units   map[uint16]*Unit // by LUN

	mu       sync.Mutex // guards the fields below
	sessions map[*session]bool
	stopping bool
	lastTSIH uint16
	running  sync.WaitGroup // counts the sessions from add to remove
}

// New returns a Target with the given options.
func New(o Options) *Target {
	if o.Resources == nil {
		o.Resources = intake.NewResources(math.MaxInt32)
	}
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

// Serve accepts connections until the listener is closed. It retries after any other error, since a lack of file
// descriptors is temporary.
func (t *Target) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.options.Log.Warn("cannot accept iSCSI connection", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s := newSession(t, conn)
		if !t.add(s) {
			s.memory.Close()
			s.pacer.Close()
			conn.Close()
			continue
		}
		go func() {
			defer t.remove(s)
			s.run()
		}()
	}
}

// add adds a session to the table and reports whether it did. The table holds up to twice as many sessions as
// Options.MaxSessions allows: those above the limit only receive a Login Response that states the reason. When the
// table is full, the session that has been in its login for longest is evicted, so that clients that connect and send
// nothing do not keep others out.
func (t *Target) add(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false
	}
	if len(t.sessions) >= 2*t.options.MaxSessions {
		oldest := t.oldestLoginLocked()
		if oldest == nil {
			return false
		}
		oldest.cancel()
		delete(t.sessions, oldest)
	}
	s.overLimit = len(t.sessions) >= t.options.MaxSessions
	t.sessions[s] = true
	t.running.Add(1)
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

// isStopping reports whether a planned stop has begun.
func (t *Target) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// remove removes a session that has ended from the table.
func (t *Target) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	t.running.Done()
}

// register assigns a TSIH to a session whose login is complete. It ends any other session of the same initiator with
// the same ISID, whose connection may be half open (session reinstatement, section 6.3.5).
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

// Shutdown asks all clients to log out and waits until all sessions have ended. A session ends when its client logs
// out, or after logoutTimeout as soon as it has no outstanding command, or at the latest when ctx ends. Sessions that
// are still in their login end at once.
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
		t.running.Wait()
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
		s.conn.Close() // it may have ended already and wait for its client
	}
	t.mu.Unlock()
	<-ended
}
