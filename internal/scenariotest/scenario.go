// Package scenariotest is the small language in which the tests of the network code are written, and the helper that
// runs them. A scenario is a script. Each line names an actor, which is a client or a stand-in for a server, and what
// it does:
//
//	client send GET /api/... id=1     the actor sends a message
//	node expect GET /api/... id=1     the next message that the actor receives is this one
//	node expect nothing               the actor has received nothing that was not expected yet
//	client expect end                 the actor's connection has ended
//	node close                        the actor closes the connection on which it last received or sent
//	gateway send stop                 the function that the test has set for this line is called
//	wait 250ms                        time passes
//	within 1s                         no more time has passed since the script's begin
//
// Scripts run in the fake time of testing/synctest, on connections within the process. What the words of a message mean
// is the business of the actor's Speech, which there is for HTTP/1.1, HTTP/2 and iSCSI.
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

// Codec translates between the words of a script and the messages of a protocol.
type Codec interface {
	Write(w io.Writer, words string) error
	Read(r *bufio.Reader) (words string, err error)
}

// Scenario holds the actors of a test and their network.
type Scenario struct {
	t        *testing.T
	began    time.Time
	Network  Network
	actors   map[string]*actor
	controls map[string]func()
	readers  sync.WaitGroup // goroutines that accept and read connections; they end when all of these are closed
}

// Run runs a script in fake time. Prepare adds the actors and starts the parts under test; the function that it returns
// must stop them.
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
		s.play(script)
		s.close()
		stop()
		s.readers.Wait()
	})
}

// Client adds an actor that connects to an address when it first sends.
func (s *Scenario) Client(name, address string, speech Codec) {
	s.actors[name] = newActor(s, address, speech)
}

// Server adds an actor that listens at an address.
func (s *Scenario) Server(name, address string, speech Codec) {
	a := newActor(s, "", speech)
	a.listener = s.Network.Listen(address)
	s.actors[name] = a
	s.readers.Go(a.accept)
}

// Control sets the function that the line "name send words" calls.
func (s *Scenario) Control(name, words string, do func()) { s.controls[name+" send "+words] = do }

// play runs a script line by line, up to the first that fails.
func (s *Scenario) play(script string) {
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
	verb, words, _ := strings.Cut(action, " ")
	switch verb {
	case "send":
		return a.send(words)
	case "expect":
		return a.expect(words)
	case "close":
		return a.close()
	}
	return fmt.Errorf("unknown verb %q", verb)
}

func wait(duration string) error {
	d, err := time.ParseDuration(duration)
	time.Sleep(d)
	synctest.Wait()
	return err
}

func (s *Scenario) checkWithin(limit string) error {
	d, err := time.ParseDuration(limit)
	if err != nil {
		return err
	}
	if passed := time.Since(s.began); passed > d {
		return fmt.Errorf("%v have passed", passed)
	}
	return nil
}

// close closes all listeners and connections of the actors.
func (s *Scenario) close() {
	for _, a := range s.actors {
		a.closeAll()
	}
}
