// Package scenariotest is the small language in which the tests of the network code are written, and the helper on
// which all of them run. A scenario is a script; each line names an actor and what it does:
//
//	client send GET /api/... id=1     the actor writes a message
//	node expect GET /api/... id=1     the next message that reaches the actor is this one
//	node expect nothing               none has reached it so far
//	client expect end                 its connection has ended
//	node close                        it closes the connection on which it last heard or wrote, and hears no end
//	gateway send stop                 what the test has put under this name is done
//	wait 250ms                        time passes
//	within 1s                         no more has passed since the script's begin
//
// Scripts run in the fake time of testing/synctest on connections within the process. The words of a message
// are the business of the actor's Speech.
package scenariotest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Speech turns the words of a script into messages on a connection and back.
type Speech interface {
	Write(w io.Writer, words string) error
	Read(r *bufio.Reader) (words string, err error)
}

// end is what an actor hears when a connection ends.
const end = "end"

// hearTime is for how long an actor waits for what it expects.
const hearTime = 20 * time.Second

// Network connects the parts of a test within the process. It is a net.Dialer for the parts under test.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	Delay     time.Duration // until a connection is up
}

// Dial connects to a listener; where none listens, it is refused.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if n.Delay > 0 {
		select {
		case <-time.After(n.Delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen opens an address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[address] = l
	return l
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// Stage holds the actors of a test. It owns their connections and gives them back in Close.
type Stage struct {
	t       *testing.T
	began   time.Time
	Network Network
	actors  map[string]*actor
	control map[string]func()
	waits   sync.WaitGroup
}

// actor is a client or a stand-in server. Messages of all its connections reach it in one order.
type actor struct {
	speech   Speech
	dial     string // a client's: where it connects when it first sends
	listener net.Listener
	heard    chan message
	current  net.Conn
	mu       sync.Mutex
	conns    []net.Conn
	shut     net.Conn // closed by the actor itself
}

type message struct {
	conn  net.Conn
	words string
}

// Run plays a test in fake time; whatever prepare starts must end by the functions that it gives to Stage.Close.
func Run(t *testing.T, script string, prepare func(*Stage) (stop func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &Stage{t: t, began: time.Now(), actors: map[string]*actor{}, control: map[string]func(){}}
		stop := prepare(s)
		s.play(script)
		s.close()
		stop()
		s.waits.Wait()
	})
}

// Client adds an actor that connects to an address.
func (s *Stage) Client(name, dial string, speech Speech) {
	s.actors[name] = &actor{speech: speech, dial: dial, heard: make(chan message, 1024)}
}

// Server adds a stand-in that listens at an address.
func (s *Stage) Server(name, address string, speech Speech) {
	a := &actor{speech: speech, listener: s.Network.Listen(address), heard: make(chan message, 1024)}
	s.actors[name] = a
	s.waits.Go(func() {
		for {
			c, err := a.listener.Accept()
			if err != nil {
				return
			}
			s.hear(a, c)
		}
	})
}

// Control adds what the line "name send words" does.
func (s *Stage) Control(name, words string, do func()) { s.control[name+" send "+words] = do }

// hear takes what comes over a connection until it ends.
func (s *Stage) hear(a *actor, c net.Conn) {
	a.mu.Lock()
	a.conns = append(a.conns, c)
	a.mu.Unlock()
	s.waits.Go(func() {
		r := bufio.NewReader(c)
		for {
			words, err := a.speech.Read(r)
			if err != nil {
				a.mu.Lock()
				own := a.shut == c
				a.mu.Unlock()
				if !own {
					a.heard <- message{c, end}
				}
				return
			}
			a.heard <- message{c, words}
		}
	})
}

func (s *Stage) close() {
	for _, a := range s.actors {
		if a.listener != nil {
			a.listener.Close()
		}
		a.mu.Lock()
		for _, c := range a.conns {
			c.Close()
		}
		a.mu.Unlock()
	}
}

// play runs a script line by line.
func (s *Stage) play(script string) {
	s.t.Helper()
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := s.step(line); err != nil {
			s.t.Errorf("%.200s: %v", line, err)
			return
		}
	}
}

func (s *Stage) step(line string) error {
	name, rest, _ := strings.Cut(line, " ")
	verb, words, _ := strings.Cut(rest, " ")
	if name == "wait" {
		d, err := time.ParseDuration(rest)
		time.Sleep(d)
		synctest.Wait()
		return err
	}
	if name == "within" {
		d, err := time.ParseDuration(rest)
		if passed := time.Since(s.began); err == nil && passed > d {
			err = fmt.Errorf("%v have passed", passed)
		}
		return err
	}
	if do := s.control[line]; do != nil {
		do()
		synctest.Wait()
		return nil
	}
	a := s.actors[name]
	if a == nil {
		return fmt.Errorf("no actor %q", name)
	}
	switch verb {
	case "send":
		return s.send(a, words)
	case "expect":
		return a.expect(words)
	case "close":
		return a.close()
	}
	return fmt.Errorf("no verb %q", verb)
}

func (s *Stage) send(a *actor, words string) error {
	if a.current == nil {
		c, err := s.Network.Dial(context.Background(), "tcp", a.dial)
		if err != nil {
			return err
		}
		a.current = c
		s.hear(a, c)
	}
	err := a.speech.Write(a.current, words)
	synctest.Wait() // what it sets off is done before the next line, so that every run is alike
	return err
}

func (a *actor) close() error {
	a.mu.Lock()
	a.shut = a.current
	a.mu.Unlock()
	a.current = nil
	err := a.shut.Close()
	synctest.Wait()
	return err
}

// expect compares the next message with words; an actor answers where it last heard.
func (a *actor) expect(words string) error {
	synctest.Wait()
	if words == "nothing" {
		select {
		case m := <-a.heard:
			return fmt.Errorf("heard %q", m.words)
		default:
			return nil
		}
	}
	select {
	case m := <-a.heard:
		if a.current = m.conn; words == end {
			a.current = nil
		}
		if diff := cmp.Diff(strings.Fields(words), strings.Fields(m.words)); diff != "" {
			return fmt.Errorf("heard %q (-want +got):\n%s", m.words, diff)
		}
		return nil
	case <-time.After(hearTime):
		return errors.New("heard nothing")
	}
}
