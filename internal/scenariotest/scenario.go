// Package scenariotest runs tests of network code that are written as scripts. Each line of a script names an actor,
// which is a client or a fake server, and what it does:
//
//	client send GET /api/... id=1     the actor sends a message
//	node expect GET /api/... id=1     the next message that the actor receives is this one
//	node expect nothing               the actor has received no message that no line has expected
//	client expect end                 the actor's connection has ended
//	node close                        the actor closes the connection on which it last received or sent
//	gateway send stop                 calls the function that the test has set for this line
//	wait 250ms                        waits for a duration
//	within 1s                         at most this time has passed since the start of the script
//
// Scripts run in the fake time of testing/synctest, on connections within the process. The Codec of an actor defines
// the notation of its messages. There are Codecs for HTTP/1.1, HTTP/2 and iSCSI.
package scenariotest

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Codec translates between the notation of messages in scripts and the messages of a protocol.
type Codec interface {
	// Write sends the message that a script describes as text.
	Write(w io.Writer, text string) error
	// Read receives a message and returns it in the notation of scripts.
	Read(r *bufio.Reader) (text string, err error)
}

// Scenario is a running script with its actors and their network.
type Scenario struct {
	t        *testing.T
	began    time.Time
	Network  Network
	actors   map[string]*actor
	controls map[string]func()
	readers  sync.WaitGroup // goroutines that accept and read connections until these are closed
}

// Run runs a script in fake time. Prepare adds the actors and starts the code under test. The function that it returns
// must stop that code.
func Run(t *testing.T, script string, prepare func(*Scenario) (stop func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &Scenario{
			t:        t,
			began:    time.Now(),
			actors:   map[string]*actor{},
			controls: map[string]func(){},
		}
		stop := prepare(s)
		s.runScript(script)
		s.close()
		stop()
		s.readers.Wait()
	})
}

// Client adds an actor that is a client. It connects to the address when it first sends.
func (s *Scenario) Client(name, address string, codec Codec) {
	s.actors[name] = newActor(s, address, codec)
}

// Server adds an actor that is a server. It listens at the address at once.
func (s *Scenario) Server(name, address string, codec Codec) {
	a := newActor(s, "", codec)
	a.listener = s.Network.Listen(address)
	s.actors[name] = a
	s.readers.Go(a.accept)
}

// Control sets the function that the line "NAME send TEXT" calls.
func (s *Scenario) Control(name, text string, do func()) { s.controls[name+" send "+text] = do }

// runScript runs a script line by line and stops at the first line that fails. It skips empty lines and lines that
// begin with #.
func (s *Scenario) runScript(script string) {
	s.t.Helper()
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := s.runLine(line); err != nil {
			s.t.Errorf("%.200s: %v", line, err)
			return
		}
	}
}

func (s *Scenario) runLine(line string) error {
	name, action, _ := strings.Cut(line, " ")
	switch name {
	case "wait":
		return wait(action)
	case "within":
		return s.checkWithin(action)
	}
	if do := s.controls[line]; do != nil {
		do()
		synctest.Wait()
		return nil
	}
	a := s.actors[name]
	if a == nil {
		return fmt.Errorf("unknown actor %q", name)
	}
	verb, text, _ := strings.Cut(action, " ")
	switch verb {
	case "send":
		return a.send(text)
	case "expect":
		return a.expect(text)
	case "close":
		return a.close()
	}
	return fmt.Errorf("unknown verb %q: want send, expect or close", verb)
}

// wait waits for a duration of fake time and for the effects to complete.
func wait(duration string) error {
	d, err := time.ParseDuration(duration)
	time.Sleep(d)
	synctest.Wait()
	return err
}

// checkWithin returns an error if more than a duration has passed since the start of the script.
func (s *Scenario) checkWithin(limit string) error {
	d, err := time.ParseDuration(limit)
	if err != nil {
		return err
	}
	if passed := time.Since(s.began); passed > d {
		return fmt.Errorf("%v have passed since the start of the script, more than %v", passed, d)
	}
	return nil
}

// close closes all listeners and connections of the actors.
func (s *Scenario) close() {
	for _, a := range s.actors {
		a.closeAll()
	}
}
