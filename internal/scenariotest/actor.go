package scenariotest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// end is what an actor receives when a connection ends.
	end = "end"
	// nothing is what an actor expects if it must have received nothing.
	nothing = "nothing"
)

const (
	// expectTimeout is how long an actor waits for what it expects.
	expectTimeout = 20 * time.Second
	// maxReceived limits the messages that an actor has received and not expected yet.
	maxReceived = 1024
)

// actor is a client or a stand-in for a server. It receives the messages of all its connections in one order.
type actor struct {
	stage    *Scenario
	speech   Codec
	address  string       // a client's: to which it connects when it first sends
	listener net.Listener // a server's
	received chan message
	current  net.Conn // on which it last received or sent

	mu     sync.Mutex
	conns  []net.Conn
	closed net.Conn // the last that the actor has closed itself, whose end it does not receive
}

type message struct {
	conn  net.Conn
	words string
}

func newActor(stage *Scenario, address string, speech Codec) *actor {
	return &actor{
		stage:    stage,
		speech:   speech,
		address:  address,
		received: make(chan message, maxReceived),
	}
}

// accept accepts connections until the listener is closed.
func (a *actor) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.add(c)
	}
}

// add receives from a connection until it ends.
func (a *actor) add(c net.Conn) {
	a.mu.Lock()
	a.conns = append(a.conns, c)
	a.mu.Unlock()
	a.stage.readers.Go(func() { a.read(c) })
}

func (a *actor) read(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		words, err := a.speech.Read(r)
		if err != nil {
			a.mu.Lock()
			closedItself := a.closed == c
			a.mu.Unlock()
			if !closedItself {
				a.received <- message{c, end}
			}
			return
		}
		a.received <- message{c, words}
	}
}

// send sends a message on the current connection.
func (a *actor) send(words string) error {
	if a.current == nil {
		c, err := a.stage.Network.Dial(context.Background(), "tcp", a.address)
		if err != nil {
			return err
		}
		a.current = c
		a.add(c)
	}
	err := a.speech.Write(a.current, words)
	synctest.Wait() // what the message causes is done before the next line, so that all runs are alike
	return err
}

// close closes the current connection.
func (a *actor) close() error {
	a.mu.Lock()
	a.closed = a.current
	a.mu.Unlock()
	a.current = nil
	err := a.closed.Close()
	synctest.Wait()
	return err
}

// closeAll closes the listener and all connections.
func (a *actor) closeAll() {
	if a.listener != nil {
		a.listener.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		c.Close()
	}
}

// expect compares the next message with words. The connection of that message becomes the current one.
func (a *actor) expect(words string) error {
	synctest.Wait()
	if words == nothing {
		select {
		case m := <-a.received:
			return fmt.Errorf("received %q", m.words)
		default:
			return nil
		}
	}
	select {
	case m := <-a.received:
		a.current = m.conn
		if words == end {
			a.current = nil
		}
		if diff := cmp.Diff(strings.Fields(words), strings.Fields(m.words)); diff != "" {
			return fmt.Errorf("received %q (-want +got):\n%s", m.words, diff)
		}
		return nil
	case <-time.After(expectTimeout):
		return errors.New("received nothing")
	}
}
