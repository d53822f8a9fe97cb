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

const fleetSheets = `
openapi: 3.0.3
info: {title: sheets, version: "1"}
paths:
  /sheets/{project}/{sheet}:
    parameters: [{name: project, in: path, required: true, schema: {type: string}}, {name: sheet, in: path, required: true, schema: {type: string}}]
    get:
      x-contract: {repeats: safe, class: read, units: 1, same_for: 1s, volume: {in: path, name: project}, data: {in: path, name: sheet}, shard: {in: header, name: X-Shard}}
      responses: {"200": {description: it, content: {application/json: {schema: {type: object, required: [hours]}}}}}
    put:
      x-contract: {repeats: keyed, key: {in: header, name: X-Clock, for: 4s, told: X-Repeated}, class: write, units: 1, volume: {in: path, name: project}, data: {in: path, name: sheet}, shard: {in: header, name: X-Shard}}
      responses: {"200": {description: stored}}
`

// lies are what a node may do otherwise than described.
type lies struct{ runsAgain, otherSchema, runsUnrun, readWrites bool }

// storer is a stand-in for a node: it keeps what ran, and drops repeats as described, unless it lies.
type storer struct {
	lies
	mu      sync.Mutex
	effects map[string]int // runs by key
	reads   int
}

func (s *storer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/odd"): // what a client may ask for to make a node look odd
		w.WriteHeader(http.StatusTeapot)
	case r.Method == http.MethodPut:
		key := r.Header.Get("X-Clock")
		known := s.effects[key] > 0
		if known && !s.runsAgain {
			w.Header().Set("X-Repeated", "1")
			return
		}
		s.effects[key]++
		if s.runsUnrun && !known {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case s.otherSchema:
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"h":7}`)
	default:
		w.Header().Set("Content-Type", "application/json")
		if s.readWrites {
			s.reads++
		}
		fmt.Fprintf(w, `{"hours":%d}`, s.reads)
	}
}

// addressed gives each connection that is accepted an address of its own.
type addressed struct {
	net.Listener
	count int
}

type addressedConn struct {
	net.Conn
	number int
}

func (a *addressed) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	a.count++
	return addressedConn{c, a.count}, err
}

func (c addressedConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, byte(c.number)), Port: 1}
}

// A node that lies among ten honest ones is found out by what it does, and is not used any more; nobody else is doubted. A client that asks for odd things
// discredits nobody. Whatever a node does, it gets no write again whose repeat it was seen to run.
func TestLyingNodes(t *testing.T) {
	const nodes, liar, clients = 11, 3, 12
	for name, c := range map[string]struct {
		lies
		odd       bool // one client asks for odd things at all nodes
		operation string
		want      string // the liar's state
	}{
		"honest":                       {},
		"a client that discredits":     {odd: true},
		"drops no repeats":             {lies{runsAgain: true}, false, "PUT /sheets/{project}/{sheet}", "distrusted"},
		"answers with another schema":  {lies{otherSchema: true}, false, "GET /sheets/{project}/{sheet}", "distrusted"},
		"claims not to have run":       {lies{runsUnrun: true}, false, "PUT /sheets/{project}/{sheet}", "distrusted"},
		"a safe call with two effects": {lies{readWrites: true}, false, "GET /sheets/{project}/{sheet}", "distrusted"},
	} {
		t.Run(name, func(t *testing.T) {
			kept := filepath.Join(t.TempDir(), "doubts.json")
			var log bytes.Buffer
			synctest.Test(t, func(t *testing.T) {
				var network scenariotest.Network
				var list []string
				var servers []*http.Server
				stores := make([]*storer, nodes)
				var ends sync.WaitGroup
				for i := range nodes {
					list = append(list, fmt.Sprintf("n%d up", i))
					stores[i] = &storer{effects: map[string]int{}}
					if i == liar {
						stores[i].lies = c.lies
					}
					server := &http.Server{Handler: stores[i]}
					listener := network.Listen(fmt.Sprintf("n%d:1", i))
					servers = append(servers, server)
					ends.Go(func() { server.Serve(listener) })
				}
				conf, err := config.Parse([]byte(`{"listen":"gate:1","discovery":"disc:1","seed":"1","known":`+hosts(1, true, list...)+`,"settings":`+settings+`}`),
					func(string) string { return "" })
				if err != nil {
					t.Fatal(err)
				}
				operator := config.DefaultOperator()
				operator.Contracts = describe(t, fleetSheets, conf.Settings, func(k *config.Contracts) { k.DistrustFile = kept })
				stop, cancel := context.WithCancel(context.Background())
				g := Options{Config: conf, Operator: operator, Listener: &addressed{Listener: network.Listen("gate:1")}, Dial: network.Dial,
					Log: slog.New(slog.NewJSONHandler(&log, nil))}
				ends.Go(func() {
					if err := Serve(stop, g); err != nil {
						t.Error(err)
					}
				})
				transports := make([]*http.Transport, clients)
				for i := range transports {
					transports[i] = &http.Transport{DialContext: network.Dial, MaxConnsPerHost: 1, IdleConnTimeout: time.Minute}
				}
				ask := func(client int, method, path string, node int, key string) int {
					r, _ := http.NewRequest(method, "http://gate:1"+path, nil)
					r.Header.Set("X-Shard", fmt.Sprint(node))
					if key != "" {
						r.Header.Set("X-Clock", key)
					}
					resp, err := transports[client].RoundTrip(r)
					if err != nil {
						t.Fatal(err)
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					synctest.Wait()
					return resp.StatusCode
				}
				for round := range 2 {
					for client := range clients {
						for node := range nodes {
							key := fmt.Sprint(round, "-", client, "-", node)
							path := fmt.Sprintf("/sheets/p%d/%d", client, node)
							ask(client, "GET", path, node, "")
							ask(client, "GET", path, node, "") // as a client that asks again
							if !c.readWrites {                 // writes between would explain that answers differ
								ask(client, "PUT", path, node, key)
								ask(client, "PUT", path, node, key)
							}
							if c.odd && client == 0 {
								for range 20 {
									ask(0, "GET", fmt.Sprintf("/sheets/p%d/odd", round), node, "")
								}
							}
						}
					}
					time.Sleep(2 * time.Second)
				}
				if c.want != "" {
					method, _, _ := strings.Cut(c.operation, " ")
					before := len(stores[liar].effects)
					if got := ask(1, method, "/sheets/p/1", liar, "late"); got != http.StatusServiceUnavailable {
						t.Errorf("%d from a node that is distrusted", got)
					}
					if got := ask(1, method, "/sheets/p/1", liar+1, "late"); got != http.StatusOK {
						t.Errorf("%d from an honest one", got)
					}
					if len(stores[liar].effects) != before {
						t.Error("it got a write")
					}
				}
				for _, tr := range transports {
					tr.CloseIdleConnections()
				}
				cancel()
				time.Sleep(time.Second)
				for _, s := range servers {
					s.Close()
				}
				ends.Wait()
			})
			told(t, log.String())
			d, err := conformance.ReadDistrustFile(filesystem.OS{}, kept)
			switch {
			case c.want == "" && err == nil:
				t.Errorf("doubts of an honest fleet: %+v", d.Records)
			case c.want != "" && (err != nil || len(d.Records) != 1 || d.Records[0].Node != fmt.Sprint("n", liar) || d.Records[0].State != c.want || d.Records[0].Operation != c.operation):
				t.Errorf("%v %+v", err, d.Records)
			}
		})
	}
}
