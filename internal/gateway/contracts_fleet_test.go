package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/scenariotest"
)

const fleetContracts = `
openapi: 3.0.3
info: {title: sheets, version: "1"}
paths:
  /sheets/{project}/{sheet}:
    parameters:
      - {name: project, in: path, required: true, schema: {type: string}}
      - {name: sheet, in: path, required: true, schema: {type: string}}
    get:
      x-contract:
        repeats: safe
        class: read
        units: 1
        same_for: 1s
        volume: {in: path, name: project}
        data: {in: path, name: sheet}
        shard: {in: header, name: X-Shard}
      responses:
        "200": {description: it, content: {application/json: {schema: {type: object, required: [hours]}}}}
    put:
      x-contract:
        repeats: keyed
        key: {in: header, name: X-Clock, for: 4s, told: X-Repeated}
        class: write
        units: 1
        volume: {in: path, name: project}
        data: {in: path, name: sheet}
        shard: {in: header, name: X-Shard}
      responses: {"200": {description: stored}}
`

const (
	fleetNodes   = 11
	fleetClients = 12
	lyingNode    = 3
)

// lies are the ways in which a node may break its contract.
type lies struct {
	runsRetries   bool // a retry with the same key has a second effect
	otherSchema   bool // reads have another schema
	deniesEffects bool // a write that ran is reported as not run
	readWrites    bool // a read has an effect
}

// fakeStore is a stand-in for a node: it remembers the writes that ran and deduplicates retries as described, unless it
// lies.
type fakeStore struct {
	lies
	mu   sync.Mutex
	runs map[string]int // by key
	read int            // what reads return, changed by reads that write
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/odd"): // what a client may request to make a node look odd
		w.WriteHeader(http.StatusTeapot)
	case r.Method == http.MethodPut:
		s.serveWrite(w, r.Header.Get("X-Clock"))
	case s.otherSchema:
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"h":7}`)
	default:
		w.Header().Set("Content-Type", "application/json")
		if s.readWrites {
			s.read++
		}
		fmt.Fprintf(w, `{"hours":%d}`, s.read)
	}
}

// serveWrite runs a write. It is called with mu held.
func (s *fakeStore) serveWrite(w http.ResponseWriter, key string) {
	isRetry := s.runs[key] > 0
	if isRetry && !s.runsRetries {
		w.Header().Set("X-Repeated", "1")
		return
	}
	s.runs[key]++
	if s.deniesEffects && !isRetry {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// distinctListener gives each connection that it accepts a remote address of its own.
type distinctListener struct {
	net.Listener
	accepted int
}

type distinctConn struct {
	net.Conn
	number int
}

func (l *distinctListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted++
	return distinctConn{conn, l.accepted}, err
}

func (c distinctConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, byte(c.number)), Port: 1}
}

// fleet is a gateway before eleven nodes, one of which may lie, and clients with one connection each.
type fleet struct {
	t       *testing.T
	network scenariotest.Network
	stores  []*fakeStore
	servers []*http.Server
	clients []*http.Transport
	running sync.WaitGroup
	stop    context.CancelFunc
}

func startFleet(t *testing.T, lies lies, distrustFile string, log io.Writer) *fleet {
	f := &fleet{t: t}
	var listed []string
	for i := range fleetNodes {
		name := fmt.Sprint("n", i)
		listed = append(listed, name+" up")
		store := &fakeStore{runs: map[string]int{}}
		if i == lyingNode {
			store.lies = lies
		}
		server := &http.Server{Handler: store}
		listener := f.network.Listen(name + ":1")
		f.running.Go(func() { server.Serve(listener) })
		f.stores = append(f.stores, store)
		f.servers = append(f.servers, server)
	}
	configuration := parseConfig(t,
		`"listen":"gate:1","discovery":"disc:1","seed":"1","known":`+hostList(1, true, listed...))
	operator := config.DefaultOperator()
	storeDistrust := func(c *config.Contracts) { c.DistrustFile = distrustFile }
	operator.Contracts = parseContracts(t, fleetContracts, configuration.Settings, storeDistrust)
	options := Options{
		Config:   configuration,
		Operator: operator,
		Listener: &distinctListener{Listener: f.network.Listen("gate:1")},
		Dial:     f.network.Dial,
		Log:      slog.New(slog.NewJSONHandler(log, nil)),
	}
	var stop context.Context
	stop, f.stop = context.WithCancel(context.Background())
	f.running.Go(func() {
		if err := Serve(stop, options); err != nil {
			t.Error(err)
		}
	})
	for range fleetClients {
		f.clients = append(f.clients, &http.Transport{
			DialContext:     f.network.Dial,
			MaxConnsPerHost: 1,
			IdleConnTimeout: time.Minute,
		})
	}
	return f
}

// send has a client send a request that belongs at a node, and returns the status.
func (f *fleet) send(client int, method, path string, node int, key string) (status int) {
	request, err := http.NewRequest(method, "http://gate:1"+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("X-Shard", fmt.Sprint(node))
	if key != "" {
		request.Header.Set("X-Clock", key)
	}
	response, err := f.clients[client].RoundTrip(request)
	if err != nil {
		f.t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	synctest.Wait()
	return response.StatusCode
}

// playRound has every client read twice at every node, as a client that retries by itself does. With withWrites it also
// writes, twice with the same key. With odd, the first client sends odd requests as well.
func (f *fleet) playRound(round int, withWrites, odd bool) {
	for client := range fleetClients {
		for node := range fleetNodes {
			path := fmt.Sprintf("/sheets/p%d/%d", client, node)
			f.send(client, "GET", path, node, "")
			f.send(client, "GET", path, node, "")
			if withWrites {
				key := fmt.Sprint(round, "-", client, "-", node)
				f.send(client, "PUT", path, node, key)
				f.send(client, "PUT", path, node, key)
			}
			if odd && client == 0 {
				for range 20 {
					f.send(0, "GET", fmt.Sprintf("/sheets/p%d/odd", round), node, "")
				}
			}
		}
	}
}

// checkLiarIsAvoided sends a late request to the node that lies, and one to an honest node.
func (f *fleet) checkLiarIsAvoided(method string) {
	liar := f.stores[lyingNode]
	before := len(liar.runs)
	if got := f.send(1, method, "/sheets/p/1", lyingNode, "late"); got != http.StatusServiceUnavailable {
		f.t.Errorf("%d from a node that is distrusted", got)
	}
	if got := f.send(1, method, "/sheets/p/1", lyingNode+1, "late"); got != http.StatusOK {
		f.t.Errorf("%d from an honest node", got)
	}
	if len(liar.runs) != before {
		f.t.Error("the distrusted node received a write")
	}
}

func (f *fleet) close() {
	for _, client := range f.clients {
		client.CloseIdleConnections()
	}
	f.stop()
	time.Sleep(time.Second)
	for _, server := range f.servers {
		server.Close()
	}
	f.running.Wait()
}

// One node among ten honest ones that lies is detected by what it does, and is not used any more; no other node is
// distrusted. A client that sends odd requests discredits no node. Whatever a node does, it receives no write again
// once it was seen to run a retry.
func TestLyingNodesAreDistrusted(t *testing.T) {
	const (
		read  = "GET /sheets/{project}/{sheet}"
		write = "PUT /sheets/{project}/{sheet}"
	)
	for _, test := range []struct {
		name      string
		lies      lies
		odd       bool   // one client sends odd requests to all nodes
		operation string // of which the liar is distrusted; empty: no node is
	}{
		{name: "honest nodes"},
		{name: "a client that discredits nodes", odd: true},
		{name: "runs retries", lies: lies{runsRetries: true}, operation: write},
		{name: "answers with another schema", lies: lies{otherSchema: true}, operation: read},
		{name: "claims not to have run", lies: lies{deniesEffects: true}, operation: write},
		{name: "a read with an effect", lies: lies{readWrites: true}, operation: read},
	} {
		t.Run(test.name, func(t *testing.T) {
			distrustFile := filepath.Join(t.TempDir(), "doubts.json")
			var log bytes.Buffer
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, test.lies, distrustFile, &log)
				for round := range 2 {
					// Writes between two reads would explain that these differ.
					f.playRound(round, !test.lies.readWrites, test.odd)
					time.Sleep(2 * time.Second)
				}
				if test.operation != "" {
					method, _, _ := strings.Cut(test.operation, " ")
					f.checkLiarIsAvoided(method)
				}
				f.close()
			})
			trustChanges(t, log.String())
			checkDistrustFile(t, distrustFile, test.operation)
		})
	}
}

// checkDistrustFile checks that the file says that the liar is distrusted for an operation, or, where the operation is
// empty, that there is none.
func checkDistrustFile(t *testing.T, path, operation string) {
	t.Helper()
	file, err := conformance.ReadDistrustFile(filesystem.OS{}, path)
	if operation == "" {
		if err == nil {
			t.Errorf("an honest fleet is distrusted: %+v", file.Records)
		}
		return
	}
	if err != nil || len(file.Records) != 1 {
		t.Fatalf("%v %+v", err, file.Records)
	}
	record := file.Records[0]
	if record.Node != fmt.Sprint("n", lyingNode) || record.State != "distrusted" || record.Operation != operation {
		t.Errorf("%+v", record)
	}
}
