package faulttest

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// nodeCount is the number of storage nodes of a run.
const nodeCount = 6

// Run is a gateway between stand-ins. It ends everything that it has started at the end of its test.
type Run struct {
	T         testing.TB
	Gateway   *Gateway // the process that runs, or the last one
	Nodes     []*Node
	Discovery *Discovery
	Record    *Record

	leaveBy atomic.Pointer[time.Time] // until when clients open connections to a process that was told to end

	options   Options
	address   string // of the gateway, for clients
	program   string
	directory string
	previous  []*Gateway // processes that have ended

	ctx     context.Context // ends when the clients have to end
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// Options configure a Run.
type Options struct {
	Limits   Limits
	Operator string // the operator's file
	Inject   string // system calls that fail in the process, as strace's option --inject names them; empty: none
	Crowd    bool   // clients fill the descriptors
}

var (
	buildOnce   sync.Once
	buildResult struct {
		program string
		err     error
	}
)

// program builds the gateway once for all runs of a test process.
func program(directory string) (string, error) {
	buildOnce.Do(func() { buildResult.program, buildResult.err = buildGateway(directory) })
	return buildResult.program, buildResult.err
}

// Start starts discovery, the storage nodes and a gateway.
func Start(t testing.TB, programDirectory string, options Options) *Run {
	t.Helper()
	r := &Run{T: t, Record: &Record{crowd: options.Crowd}, options: options, directory: t.TempDir()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	t.Cleanup(r.end)
	var err error
	if r.program, err = program(programDirectory); err != nil {
		t.Fatal(err)
	}
	for shard := range nodeCount {
		node, err := startNode(shard, r.Record)
		if err != nil {
			t.Fatal(err)
		}
		r.Nodes = append(r.Nodes, node)
	}
	if r.Discovery, err = startDiscovery(r.Nodes); err != nil {
		t.Fatal(err)
	}
	listen, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	r.address = listen
	if err := r.startGateway(listen); err != nil {
		t.Fatal(err)
	}
	return r
}

// startGateway starts a gateway process.
func (r *Run) startGateway(listen string) (err error) {
	r.Gateway, err = startGateway(launch{
		program:   r.program,
		directory: r.directory,
		listen:    listen,
		discovery: r.Discovery.Address,
		options:   r.options,
	})
	return err
}

// injectedCalls returns how many system calls have failed because Options.Inject says so.
func (r *Run) injectedCalls() int {
	calls, _ := os.ReadFile(launch{directory: r.directory}.tracePath())
	return bytes.Count(calls, []byte("(INJECTED)"))
}

// killDelay is how long after SIGTERM the process is killed: the longest deadline, and 0.7 s.
const killDelay = writeTimeout + 700*time.Millisecond

// noticeTime is how long after SIGTERM clients open new connections. They use those that they have until these end.
const noticeTime = 400 * time.Millisecond

// mayConnect reports whether clients still open connections.
func (r *Run) mayConnect() bool {
	leaveBy := r.leaveBy.Load()
	return leaveBy == nil || time.Now().Before(*leaveBy)
}

// Restart ends the process, with SIGTERM first or with SIGKILL alone, and starts another one on the same address.
func (r *Run) Restart(planned bool) {
	r.T.Helper()
	var stop Stop
	old := r.Gateway
	if planned {
		stop.TermAt = time.Now()
		leaveBy := stop.TermAt.Add(noticeTime)
		r.leaveBy.Store(&leaveBy)
		old.Terminate()
		select {
		case <-old.ended:
		case <-time.After(killDelay):
		}
	}
	if !old.Ended() {
		stop.KillAt = time.Now()
	}
	old.Kill()
	stop.DeadAt = time.Now()
	r.previous = append(r.previous, old)
	if err := r.startGateway(old.Address); err != nil {
		r.T.Error(err)
		r.Gateway = old
	}
	r.leaveBy.Store(nil)
	stop.BackAt = time.Now()
	r.Record.addStop(stop)
}

// addresses counts the loopback addresses that were given to gateways.
var addresses atomic.Uint32

// freeAddress returns an address on which nobody listens. No other socket of the tests has its IP address, so that its
// port stays free.
func freeAddress() (string, error) {
	number := addresses.Add(1)
	ip := net.IPv4(127, byte(1+os.Getpid()%250), byte(number>>8), byte(1+number%250))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Go runs a client until it returns. Its context ends when the clients have to end.
func (r *Run) Go(client func(ctx context.Context)) { r.clients.Go(func() { client(r.ctx) }) }

// EndClients ends all clients and waits for them.
func (r *Run) EndClients() {
	r.cancel()
	r.clients.Wait()
}

// end ends everything.
func (r *Run) end() {
	r.EndClients()
	if r.Gateway != nil {
		r.Gateway.Kill()
	}
	for _, n := range r.Nodes {
		n.server.Close()
	}
	if r.Discovery != nil {
		r.Discovery.server.Close()
	}
}

// Check fails the test for every breach of a rule that clients, storage nodes and the process show.
func (r *Run) Check() {
	r.T.Helper()
	for _, violation := range r.Record.Violations() {
		r.T.Error(violation)
	}
	usage := Usage{}
	for _, g := range append(r.previous, r.Gateway) {
		if err := g.check(); err != nil {
			r.T.Error(err)
		}
		usage.MemoryBytes = max(usage.MemoryBytes, g.Usage().MemoryBytes)
		usage.Descriptors = max(usage.Descriptors, g.Usage().Descriptors)
	}
	if r.T.Failed() {
		r.T.Logf("the log of the last process ends with\n%s", r.Gateway.logTail())
	}
	r.T.Logf("%v; memory %.1f MB, %d descriptors", r.Record.Summarize(),
		float64(usage.MemoryBytes)/megabyte, usage.Descriptors)
}

var (
	errCrashed     = errors.New("the gateway ended by itself")
	errMemory      = errors.New("the gateway passed its memory limit")
	errDescriptors = errors.New("the gateway passed its limit of descriptors")
)

// check returns how the process has broken its limits.
func (g *Gateway) check() error {
	var found []error
	usage := g.Usage()
	if g.Crashed() {
		found = append(found, errCrashed)
	}
	if usage.MemoryBytes > int64(g.limits.MemoryMB)*megabyte {
		found = append(found, errMemory)
	}
	if usage.Descriptors > g.limits.Sockets {
		found = append(found, errDescriptors)
	}
	return errors.Join(found...)
}

// pause waits, and reports whether the clients may go on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
