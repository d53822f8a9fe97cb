package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/scenariotest"
	"reachpulley/internal/zonefailover"
)

// zoneSettings are the platform's settings of tests with two zones.
const zoneSettings = `{
	"siblings": 3, "zone": 0, "tickMs": 1, "membershipMode": "push", "dcs": ["a", "b"], "report": {"via": "off"},
	"ceilings": {"cancel": true, "maxAttempts": 4, "retryAfter": true, "probes": true, "maxRetryAfterMs": 500,
		"dialTimeoutMs": 250, "connIdleMs": 15000},
	"classes": [
		{"name": "read", "aimMs": 300, "deadlineMs": 1500, "points": 3, "idempotency": "idempotent"},
		{"name": "write", "aimMs": 400, "deadlineMs": 2500, "points": 2, "idempotency": "deduplicated",
			"keyScope": "cell", "windowMs": 4000}
	],
	"contract": {"drainGraceMs": 250, "coldFrom": 0.18, "warmWithinMs": 17000, "overloadForMs": 3000,
		"fallMultiple": 4},
	"familyInfo": {"meanUnits": 2, "mostUnits": 8, "changesData": [false, true], "youngLimit": 170},
	"policies": [{"name": "gold", "baseRate": 99, "guaranteed": 99, "price": 1, "proportion": 1}]
}`

// parseZoneConfig reads the configuration of a gateway that knows the given nodes, each formatted by listedNode.
func parseZoneConfig(t *testing.T, listen, discovery string, seed int, settings string, nodes []string) *config.Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x",
		"known":{"seq":1,"whole":true,"hosts":[%s]},"settings":%s}`,
		listen, listen, discovery, seed, strings.Join(nodes, ","), settings)
	parsed, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// listedNode formats a node of discovery's list.
func listedNode(name, address, zone string, shard int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"block":%d,"health":"up","share":1,"born_ms":0}`,
		name, address, zone, shard)
}

// objectRequestTo makes a request of one of the platform's clients. Shard -1 stands for a new object, which is on no
// shard yet.
func objectRequestTo(address, id, class string, volume, object, units, shard int) (*http.Request, error) {
	method := http.MethodGet
	if class == "write" {
		method = http.MethodPut
	}
	url := fmt.Sprintf("http://%s/api/%016x/%016x", address, volume, object)
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Class", class)
	request.Header.Set("X-Qos-Policy", "gold")
	request.Header.Set("Idempotency-Key", id)
	request.Header.Set("X-Placement", fmt.Sprintf("units=%d,shard=%d,hosts=1", units, shard))
	return request, nil
}

// Parameters of TestZoneOutageAndRecovery: two zones of three nodes each, behind three whole gateways.
const (
	zoneGateways     = 3
	zoneClients      = 36
	spilloverRate    = 30.0 // units per second, over all gateways
	spilloverBurst   = 24.0 // units
	zoneTestTime     = 40 * time.Second
	firstZoneLost    = 5 * time.Second       // since the start
	firstZoneBack    = 11 * time.Second      // since the start
	countServedFrom  = 35 * time.Second      // since the start; requests that nodes serve from then on are counted
	zoneLoadInterval = 10 * time.Millisecond // between two samples of the nodes' load
)

// startZoneNodes starts three nodes in each zone and returns how discovery lists them.
func startZoneNodes(network *scenariotest.Network) (nodes []*zoneNode, listed []string) {
	for shard, zone := range []string{"a", "a", "a", "b", "b", "b"} {
		node := &zoneNode{name: fmt.Sprint(zone, shard), network: network}
		node.start()
		nodes = append(nodes, node)
		listed = append(listed, listedNode(node.name, node.name+":1", zone, shard))
	}
	return nodes, listed
}

// startZoneGateways starts the gateways, which run until stop ends. It returns a group that waits for their end.
func startZoneGateways(
	t *testing.T, stop context.Context, network *scenariotest.Network, listed []string,
) (running *sync.WaitGroup) {
	running = &sync.WaitGroup{}
	for i := range zoneGateways {
		address := fmt.Sprintf("gate%d:1", i)
		operator := config.DefaultOperator()
		operator.ZoneFailover.Settings = zonefailover.Settings{
			Tiers:     []int{0, 1},
			Spillover: spilloverRate,
			Burst:     spilloverBurst,
			Siblings:  zoneGateways,
		}
		options := Options{
			Config:   parseZoneConfig(t, address, "disc:1", i+1, zoneSettings, listed),
			Operator: operator,
			Listener: network.Listen(address),
			Dial:     network.Dial,
			Log:      slog.New(slog.DiscardHandler),
		}
		running.Go(func() {
			if err := Serve(stop, options); err != nil {
				t.Errorf("gateway %s ended with an error: %v", address, err)
			}
		})
	}
	return running
}

// zoneResults counts the requests that the clients send, and the responses that they receive.
type zoneResults struct {
	mu             sync.Mutex
	sent           int
	answered       map[int]int // number of responses by status
	newObjectsLost int         // writes of new objects with status 502
}

// runClient sends requests until zoneTestTime is over, a third of them for new objects, and checks that each is
// answered in time.
func (r *zoneResults) runClient(t *testing.T, network *scenariotest.Network, client int, began time.Time) {
	random := rand.New(rand.NewPCG(uint64(client), 3))
	transport := &http.Transport{DialContext: network.Dial, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	address := fmt.Sprintf("gate%d:1", client%zoneGateways)
	for n := 0; time.Since(began) < zoneTestTime; n++ {
		class, shard := "read", random.IntN(6)
		if random.IntN(3) == 0 {
			class, shard = "write", -1
		}
		request, err := objectRequestTo(address, fmt.Sprint(client, "-", n), class, client, n, 2, shard)
		if err != nil {
			t.Error(err)
			return
		}
		request.Header.Set("X-Deadline", "1400m")
		sent := time.Now()
		response, err := transport.RoundTrip(request)
		r.count(t, class, response, err, time.Since(sent))
		time.Sleep(time.Duration(random.ExpFloat64() * float64(250*time.Millisecond)))
	}
}

func (r *zoneResults) count(t *testing.T, class string, response *http.Response, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err != nil {
		t.Errorf("no response: %v", err)
	} else {
		r.answered[response.StatusCode]++
		if class == "write" && response.StatusCode == http.StatusBadGateway {
			r.newObjectsLost++
		}
		response.Body.Close()
	}
	if took > 1450*time.Millisecond {
		t.Errorf("response after %v, want it within 1.45 s", took)
	}
}

// spilledOver returns the units of new objects that the nodes of the second zone received.
func spilledOver(secondZone []*zoneNode) (units float64) {
	for _, node := range secondZone {
		units += node.newObjects()
	}
	return units
}

// playZoneOutage silences the first zone, restarts it later, and samples the load of the nodes meanwhile. It checks how
// many units spilled over during the outage, and returns how many had before.
func playZoneOutage(t *testing.T, nodes []*zoneNode) (spilledBefore float64) {
	firstZone, secondZone := nodes[:3], nodes[3:]
	for at := time.Duration(0); at < zoneTestTime; at += zoneLoadInterval {
		switch at {
		case firstZoneLost:
			for _, node := range firstZone {
				node.fallSilent()
			}
			spilledBefore = spilledOver(secondZone)
		case firstZoneBack:
			units := spilledOver(secondZone) - spilledBefore
			if units < 40 || units > spilloverRate*6+spilloverBurst {
				t.Errorf("%v units spilled over in the 6 s of the outage, want from 40 to %v",
					units, spilloverRate*6+spilloverBurst)
			}
			for _, node := range firstZone {
				node.restart()
			}
		case countServedFrom:
			for _, node := range nodes {
				node.resetServed()
			}
		}
		time.Sleep(zoneLoadInterval)
		for _, node := range nodes {
			node.sampleLoad()
		}
	}
	return spilledBefore
}

// The first zone is silent for 6 s and comes back with nodes that have just started. While it recovers, the load that
// all gateways together put on its nodes, sampled every 10 ms, must never exceed what the nodes tolerate. Spillover
// must stay within the limit for all gateways, each request must get one response in time, and in the end all nodes
// must serve again.
func TestZoneOutageAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network scenariotest.Network
		nodes, listed := startZoneNodes(&network)
		stop, cancel := context.WithCancel(context.Background())
		gateways := startZoneGateways(t, stop, &network, listed)
		began := time.Now()
		results := &zoneResults{answered: map[int]int{}}
		var clients sync.WaitGroup
		for client := range zoneClients {
			clients.Go(func() { results.runClient(t, &network, client, began) })
		}
		spilledBefore := playZoneOutage(t, nodes)
		clients.Wait()
		for _, node := range nodes {
			node.check(t)
		}
		if spilledBefore > spilloverBurst {
			t.Errorf("%.0f units spilled over before the outage, want at most %v", spilledBefore, spilloverBurst)
		}
		if results.answered[http.StatusOK] < results.sent/2 || results.newObjectsLost > 30 {
			t.Errorf("of %d requests: responses by status %v, %d new objects lost; "+
				"want 200 for half, and at most 30 lost",
				results.sent, results.answered, results.newObjectsLost)
		}
		cancel()
		gateways.Wait()
		for _, node := range nodes {
			node.server.Close()
		}
		time.Sleep(time.Minute)
	})
}
