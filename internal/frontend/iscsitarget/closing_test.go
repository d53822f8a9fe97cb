package iscsitarget

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// slowLoop is an event loop whose nodes serve each request after a time.
type slowLoop struct{ serviceTime time.Duration }

func (l slowLoop) Open(x *exchange.Exchange) {
	time.AfterFunc(l.serviceTime, func() {
		x.Finish(exchange.Answer{Verdict: exchange.Served, Reply: &iscsi.Reply{}})
	})
}

// testDeadline is the deadline of the commands in these tests. It exceeds every timeout of a session.
const testDeadline = 5 * time.Minute

// testClient is a client that has logged in. It reads nothing on its own.
type testClient struct {
	t    *testing.T
	conn net.Conn
}

// runWithClient runs a test in fake time, with a client of a target in front of an event loop.
func runWithClient(t *testing.T, loop Loop, test func(c *testClient)) {
	synctest.Test(t, func(t *testing.T) {
		var network scenariotest.Network
		listener := network.Listen("target:1")
		target := New(Options{
			Name:        "iqn.gate",
			Units:       []Unit{{BlockSize: 512, Blocks: 100, UnitBytes: 8192}},
			Classes:     []scheduler.Class{{Deadline: testDeadline}},
			MaxSessions: 2,
			MaxTasks:    4,
			Loop:        loop,
			Translator:  NativeTranslator{},
			NewID:       func() string { return "1" },
			Log:         slog.New(slog.DiscardHandler),
		})
		var serving sync.WaitGroup
		serving.Go(func() { target.Serve(listener) })
		conn, err := network.Dial(t.Context(), "tcp", "target:1")
		if err != nil {
			t.Fatal(err)
		}
		defer target.running.Wait()
		defer serving.Wait()
		defer listener.Close()
		defer conn.Close()
		c := &testClient{t: t, conn: conn}
		c.logIn()
		test(c)
	})
}

func (c *testClient) send(p *iscsi.PDU) {
	c.t.Helper()
	if _, err := c.conn.Write(p.Bytes()); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) logIn() {
	c.t.Helper()
	login := iscsi.NewPDU(iscsi.LoginRequest, iscsi.Transit|iscsi.OperationalStage<<2|iscsi.FullFeature)
	login.SetImmediate().Set(iscsi.CmdSN, 1)
	login.Data = iscsi.FormatText([]iscsi.Pair{
		{Key: "InitiatorName", Value: "iqn.a"},
		{Key: "TargetName", Value: "iqn.gate"},
	})
	c.send(login)
	c.expect(iscsi.LoginResponse)
}

// write sends a command that writes the first block, with its data.
func (c *testClient) write(tag, cmdSN uint32) {
	c.t.Helper()
	p := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final|iscsi.Write)
	p.Set(iscsi.InitiatorTaskTag, tag).Set(iscsi.CmdSN, cmdSN).Set(iscsi.ExpectedLength, 512)
	*p.CDB() = (&iscsi.Command{Blocks: 1, BlockSize: 512, Write: true}).CDB()
	p.Data = make([]byte, 512)
	c.send(p)
}

// expect reads PDUs until one has an opcode. It fails the test if the connection ends before that.
func (c *testClient) expect(opcode iscsi.Opcode) *iscsi.PDU {
	c.t.Helper()
	for {
		p, err := iscsi.ReadPDU(c.conn, 1<<20)
		if err != nil {
			c.t.Fatalf("waiting for %q: %v", opcode, err)
		}
		if p.Op() == opcode {
			return p
		}
	}
}

// Guards against sessions that end with commands outstanding, whose outcome their client then never learns
// (docs/incidents/2026-12-04-iscsi-session-ended-with-commands.md).
func TestSessionWaitsForOutstandingCommand(t *testing.T) {
	for _, test := range []struct {
		name        string
		serviceTime time.Duration
		wait        time.Duration // before the client reads
	}{
		{name: "client that answers no pings", serviceTime: 5 * pingInterval},
		{
			name:        "client that reads again after the write timeout",
			serviceTime: 3 * pingInterval,
			wait:        2 * pingInterval,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithClient(t, slowLoop{test.serviceTime}, func(c *testClient) {
				c.write(7, 1)
				time.Sleep(test.wait)
				response := c.expect(iscsi.SCSIResponse)
				tag, status := response.Get(iscsi.InitiatorTaskTag), response.Header[statusOffset]
				if tag != 7 || status != 0 {
					t.Errorf("response to command %d with status %d, want command 7 and status 0", tag, status)
				}
			})
		})
	}
}

// TestSilentSessionEndsWithoutCommands checks that a client which reads and sends nothing any more does not occupy its
// session once no command is outstanding.
func TestSilentSessionEndsWithoutCommands(t *testing.T) {
	runWithClient(t, slowLoop{time.Second}, func(c *testClient) {
		c.write(7, 1)
		time.Sleep(time.Second + writeTimeout + time.Millisecond)
		synctest.Wait()
		if _, err := c.conn.Write([]byte{0}); err == nil {
			t.Errorf("the session is open %v after the response to its only command, which was not read", writeTimeout)
		}
	})
}
