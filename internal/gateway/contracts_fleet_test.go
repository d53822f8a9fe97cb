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

// fleetContracts describes the operations of the nodes of a fleet.
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
	faultyNode   = 3 // the only one that may break its contract
)

// contractFaults are the ways in which a node may break its contract.
type contractFaults struct {
	runsRetries   bool // a retry with the same key has a second effect
	otherSchema   bool // responses to reads do not match their schema
	deniesEffects bool // a write that ran is reported as not run
	changingReads bool // a read has an effect
}

// fakeNode is a stand-in for a node. It remembers the writes that ran and deduplicates retries as described, unless it
// has a fault.
type fakeNode struct {
	contractFaults
	mu   sync.Mutex
	runs map[string]int // number of times that each write ran, by key
	read int            // value that reads return; with changingReads, each read increases it
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/odd"): // for requests by which a client tries to discredit nodes
		w.WriteHeader(http.StatusTeapot)
	case r.Method == http.MethodPut:
		n.serveWrite(w, r.Header.Get("X-Clock"))
	case n.otherSchema:
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"h":7}`)
	default:
		w.Header().Set("Content-Type", "application/json")
		if n.changingReads {
			n.read++
		}
		fmt.Fprintf(w, `{"hours":%d}`, n.read)
	}
}

// serveWrite runs a write. It is called with mu held.
func (n *fakeNode) serveWrite(w http.ResponseWriter, key string) {
	isRetry := n.runs[key] > 0
	if isRetry && !n.runsRetries {
		w.Header().Set("X-Repeated", "1")
		return
	}
	n.runs[key]++
	if n.deniesEffects && !isRetry {
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

// fleet is a gateway in front of eleven nodes, one of which may be faulty, and clients with one connection each.
type fleet struct {
	t       *testing.T
	network scenariotest.Network
	nodes   []*fakeNode
	servers []*http.Server
	clients []*http.Transport
	running sync.WaitGroup
	stop    context.CancelFunc
}

// startFleet starts a fleet whose faultyNode has the given faults.
func startFleet(t *testing.T, faults contractFaults, distrustFile string, log io.Writer) *fleet {
	f := &fleet{t: t}
	var listed []string
	for i := range fleetNodes {
		name := fmt.Sprint("n", i)
		listed = append(listed, name+" up")
		node := &fakeNode{runs: map[string]int{}}
		if i == faultyNode {
			node.contractFaults = faults
		}
		server := &http.Server{Handler: node}
		listener := f.network.Listen(name + ":1")
		f.running.Go(func() { server.Serve(listener) })
		f.nodes = append(f.nodes, node)
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

// send lets a client send a request for data on a node, and returns the status of the response.
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

// playRound lets every client read from every node twice, as a client does that retries by itself. With withWrites,
// each client also writes, twice with the same key. With discredit, the first client also tries to discredit the nodes,
// by requests to which they respond with a status that is not described.
func (f *fleet) playRound(round int, withWrites, discredit bool) {
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
			if discredit && client == 0 {
				for range 20 {
					f.send(0, "GET", fmt.Sprintf("/sheets/p%d/odd", round), node, "")
				}
			}
		}
	}
}

// checkFaultyNodeIsAvoided checks that a request for data on the faulty node is rejected and, if it is a write, not run
// there, and that a request for data on a node without a fault is served.
func (f *fleet) checkFaultyNodeIsAvoided(method string) {
	faulty := f.nodes[faultyNode]
	before := len(faulty.runs)
	if got := f.send(1, method, "/sheets/p/1", faultyNode, "late"); got != http.StatusServiceUnavailable {
		f.t.Errorf("status %d for data on the distrusted node, want %d", got, http.StatusServiceUnavailable)
	}
	if got := f.send(1, method, "/sheets/p/1", faultyNode+1, "late"); got != http.StatusOK {
		f.t.Errorf("status %d for data on a node without a fault, want %d", got, http.StatusOK)
	}
	if len(faulty.runs) != before {
		f.t.Errorf("the distrusted node has run writes with %d keys, want %d as before", len(faulty.runs), before)
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

// One node of eleven breaks its contract. The gateway must detect that from its responses and stop using the node, and
// must not distrust any other node. A client must not be able to discredit nodes by its requests. A node that was seen
// to run a retry must not receive a write again.
func TestNodesThatBreakContractsAreDistrusted(t *testing.T) {
	const (
		read  = "GET /sheets/{project}/{sheet}"
		write = "PUT /sheets/{project}/{sheet}"
	)
	for _, test := range []struct {
		name      string
		faults    contractFaults
		discredit bool   // one client tries to discredit all nodes
		operation string // operation for which the faulty node is distrusted; empty: no node is distrusted
	}{
		{name: "no node has a fault"},
		{name: "a client cannot discredit nodes", discredit: true},
		{name: "a retry is run again", faults: contractFaults{runsRetries: true}, operation: write},
		{name: "responses do not match their schema", faults: contractFaults{otherSchema: true}, operation: read},
		{
			name:      "a write that ran is reported as not run",
			faults:    contractFaults{deniesEffects: true},
			operation: write,
		},
		{name: "a read has an effect", faults: contractFaults{changingReads: true}, operation: read},
	} {
		t.Run(test.name, func(t *testing.T) {
			distrustFile := filepath.Join(t.TempDir(), "doubts.json")
			var log bytes.Buffer
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, test.faults, distrustFile, &log)
				for round := range 2 {
					// If reads change their value, clients do not write: a write between two reads would explain why
					// their results differ.
					f.playRound(round, !test.faults.changingReads, test.discredit)
					time.Sleep(2 * time.Second)
				}
				if test.operation != "" {
					method, _, _ := strings.Cut(test.operation, " ")
					f.checkFaultyNodeIsAvoided(method)
				}
				f.close()
			})
			trustChanges(t, log.String())
			checkDistrustFile(t, distrustFile, test.operation)
		})
	}
}

// checkDistrustFile checks that the file contains only the distrust of the faulty node for an operation or, if the
// operation is empty, that there is no file.
func checkDistrustFile(t *testing.T, path, operation string) {
	t.Helper()
	file, err := conformance.ReadDistrustFile(filesystem.OS{}, path)
	if operation == "" {
		if err == nil {
			t.Errorf("nodes without a fault are distrusted: %+v", file.Records)
		}
		return
	}
	if err != nil || len(file.Records) != 1 {
		t.Fatalf("distrust file: error %v, records %+v; want one record", err, file.Records)
	}
	record := file.Records[0]
	if record.Node != fmt.Sprint("n", faultyNode) || record.State != "distrusted" || record.Operation != operation {
		t.Errorf("distrust file: got record %+v, want n%d distrusted for %s", record, faultyNode, operation)
	}
}
