package iscsitarget

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
)

const (
	randomRuns = 150 // runs of TestEveryCommandEnds, each with its own seed
	randomStep = 30  // steps of a client in a run
	maxService = 3 * time.Second
)

// randomLoop is an event loop whose nodes serve each request after a random time.
type randomLoop struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (l *randomLoop) Open(x *exchange.Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slowLoop{time.Duration(l.random.Int64N(int64(maxService)))}.Open(x)
}

// randomInitiator is a client that sends commands, aborts some of them and violates the protocol, in a random order.
type randomInitiator struct {
	*testClient
	random  *rand.Rand
	lastTag uint32
	cmdSN   uint32

	mu   sync.Mutex
	open map[uint32]bool // commands without a response that were not aborted
}

// TestEveryCommandEnds checks, for many orders of commands, aborts and protocol errors, that each command which was
// complete and not aborted gets its response.
func TestEveryCommandEnds(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			loop := &randomLoop{random: rand.New(rand.NewPCG(seed, 1))}
			runWithClient(t, loop, func(client *testClient) {
				c := &randomInitiator{
					testClient: client,
					random:     rand.New(rand.NewPCG(seed, 0)),
					cmdSN:      1,
					open:       map[uint32]bool{},
				}
				var reading sync.WaitGroup
				reading.Go(c.readResponses)
				for range randomStep {
					c.step()
				}
				c.violate()
				time.Sleep(maxService + time.Second)
				synctest.Wait()
				c.mu.Lock()
				if len(c.open) > 0 {
					t.Errorf("commands without a response: %v", c.open)
				}
				c.mu.Unlock()
				c.conn.Close()
				reading.Wait()
			})
		})
	}
}

// readResponses notes the responses until the connection ends.
func (c *randomInitiator) readResponses() {
	for {
		p, err := iscsi.ReadPDU(c.conn, 1<<20)
		if err != nil {
			return
		}
		if p.Op() == iscsi.SCSIResponse {
			c.mu.Lock()
			delete(c.open, p.Get(iscsi.InitiatorTaskTag))
			c.mu.Unlock()
		}
	}
}

// step makes the client send or abort a command, and often wait.
func (c *randomInitiator) step() {
	synctest.Wait() // responses that were sent have opened the command window
	c.mu.Lock()
	count := len(c.open)
	c.mu.Unlock()
	switch {
	case count < 3 && c.random.IntN(4) > 0: // below the depth of the session
		c.lastTag++
		c.mu.Lock()
		c.open[c.lastTag] = true
		c.mu.Unlock()
		c.write(c.lastTag, c.cmdSN)
		c.cmdSN++
	case count > 0 && c.random.IntN(4) == 0:
		c.abortOne()
	}
	if c.random.IntN(2) == 0 {
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
	}
}

// abortOne aborts the oldest open command.
func (c *randomInitiator) abortOne() {
	c.mu.Lock()
	oldest := c.lastTag
	for tag := range c.open {
		oldest = min(oldest, tag)
	}
	delete(c.open, oldest)
	c.mu.Unlock()
	p := iscsi.NewPDU(iscsi.TaskRequest, iscsi.Final|iscsi.AbortTask).SetImmediate()
	p.Set(iscsi.InitiatorTaskTag, 1<<20+oldest).Set(iscsi.ReferencedTaskTag, oldest).Set(iscsi.CmdSN, c.cmdSN)
	c.send(p)
}

// violate ends the session by a protocol error, or does nothing.
func (c *randomInitiator) violate() {
	switch c.random.IntN(5) {
	case 0: // a gap in the order of commands; within the window, which all responses have opened to the depth
		c.send(iscsi.NewPDU(iscsi.NopOut, iscsi.Final).Set(iscsi.InitiatorTaskTag, 1<<21).Set(iscsi.CmdSN, c.cmdSN+1))
	case 1: // a second login
		c.send(iscsi.NewPDU(iscsi.LoginRequest, iscsi.Transit).SetImmediate())
	case 2: // additional header segments
		p := iscsi.NewPDU(iscsi.NopOut, iscsi.Final)
		p.Header[4] = 1
		c.send(p)
	case 3: // a data segment that is too long
		p := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final)
		p.Header[5] = 0xff
		c.send(p)
	}
}
