package scenariotest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// end is the text that an actor receives when a connection ends.
	end = "end"
	// nothing is the text of an expectation that the actor has received no message. As the text that an actor with the
	// Codec HTTP sends, it makes the actor connect without sending anything.
	nothing = "nothing"
)

const (
	// expectTimeout is the time that an actor waits for an expected message.
	expectTimeout = 20 * time.Second
	// maxReceived is the number of received messages that an actor holds until the script expects them.
	maxReceived = 1024
)

// actor is a client or a fake server. It puts the messages of all its connections into one queue.
type actor struct {
	scenario *Scenario
	codec    Codec
	address  string       // address to which a client connects when it first sends
	listener net.Listener // listener of a server; nil for a client
	received chan message
	current  net.Conn // connection on which it last sent or received

	mu     sync.Mutex
	conns  []net.Conn
	closed net.Conn // connection that the actor closed last; its end is not put into the queue
}

// message is a received message.
type message struct {
	conn net.Conn
	text string // in the notation of scripts
}

func newActor(scenario *Scenario, address string, codec Codec) *actor {
	return &actor{
		scenario: scenario,
		codec:    codec,
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

// add starts a goroutine that receives the messages of a connection until it ends.
func (a *actor) add(c net.Conn) {
	a.mu.Lock()
	a.conns = append(a.conns, c)
	a.mu.Unlock()
	a.scenario.readers.Go(func() { a.read(c) })
}

// read receives the messages of a connection until it ends.
func (a *actor) read(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		text, err := a.codec.Read(r)
		if err != nil {
			a.mu.Lock()
			closedByActor := a.closed == c
			a.mu.Unlock()
			if !closedByActor {
				a.received <- message{c, end}
			}
			return
		}
		a.received <- message{c, text}
	}
}

// send sends a message on the current connection. A client without one connects first.
func (a *actor) send(text string) error {
	if a.current == nil {
		c, err := a.scenario.Network.Dial(context.Background(), "tcp", a.address)
		if err != nil {
			return err
		}
		a.current = c
		a.add(c)
	}
	err := a.codec.Write(a.current, text)
	synctest.Wait() // the effects of the message are complete before the next line, so that all runs are alike
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

// expect compares the next received message with text, ignoring differences in white space. The connection of the
// message becomes the current one, or none if it has ended. If text is nothing, expect fails if a message is left in
// the queue.
func (a *actor) expect(text string) error {
	synctest.Wait()
	if text == nothing {
		select {
		case m := <-a.received:
			return fmt.Errorf("received %q, want no message", m.text)
		default:
			return nil
		}
	}
	select {
	case m := <-a.received:
		a.current = m.conn
		if text == end {
			a.current = nil
		}
		if diff := cmp.Diff(strings.Fields(text), strings.Fields(m.text)); diff != "" {
			return fmt.Errorf("received %q (-want +got):\n%s", m.text, diff)
		}
		return nil
	case <-time.After(expectTimeout):
		return fmt.Errorf("received no message within %v", expectTimeout)
	}
}
