package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/scenariotest"
	"reachpulley/internal/zonefailover"
)

const roomSettings = `{"siblings":3,"zone":0,"tickMs":1,"membershipMode":"push","dcs":["a","b"],"ceilings":{"cancel":true,"maxAttempts":4,"retryAfter":true,"probes":true,` +
	`"maxRetryAfterMs":500,"dialTimeoutMs":250,"connIdleMs":15000},"classes":[` +
	`{"aimMs":300,"deadlineMs":1500,"idempotency":"idempotent","name":"read","points":3},` +
	`{"aimMs":400,"deadlineMs":2500,"idempotency":"deduplicated","keyScope":"cell","windowMs":4000,"name":"write","points":2}],` +
	`"contract":{"drainGraceMs":250,"coldFrom":0.18,"warmWithinMs":17000,"overloadForMs":3000,"fallMultiple":4},` +
	`"familyInfo":{"meanUnits":2,"mostUnits":8,"changesData":[false,true],"youngLimit":170},` +
	`"policies":[{"baseRate":99,"guaranteed":99,"name":"gold","price":1,"proportion":1}],"report":{"via":"off"}}`

// machine is a stand-in for a node in a room: two workers, a start that is cold, and silence. It listens again only when it is back, so that dials meanwhile hang.
type machine struct {
	name    string
	network *scenariotest.Network

	mu       sync.Mutex
	server   *http.Server
	started  time.Time     // zero: long ago
	dark     chan struct{} // closed once it is dark; what is held then says nothing any more
	workers  chan struct{}
	arrived  []arrivedUnits
	sum      float64 // of the units that new objects of another room's gateways brought
	served   int
	heaviest float64 // load while cold, as a share of what it bears
}

type arrivedUnits struct {
	at    time.Time
	units float64
}

const (
	unitTime   = 20 * time.Millisecond
	coldWindow = 3 * time.Second
	warmWithin = 17 * time.Second
)

func (m *machine) warmth() float64 {
	if m.started.IsZero() || time.Since(m.started) >= warmWithin {
		return 1
	}
	return 0.18 + 0.82*time.Since(m.started).Seconds()/warmWithin.Seconds()
}

// start has it listen.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark, m.workers, m.arrived = make(chan struct{}), make(chan struct{}, 2), nil
	m.server = &http.Server{Handler: m}
	listener := m.network.Listen(m.name + ":1")
	server := m.server
	go server.Serve(listener)
}

// lose makes it dark: its connections stay open and silent, and new ones never come up.
func (m *machine) lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.dark)
	m.network.Listen(m.name + ":1") // in place of the one that accepts: nobody takes anything from it
}

// back restarts it: the connections of before are reset.
func (m *machine) back() {
	m.mu.Lock()
	m.started = time.Now()
	old := m.server
	m.mu.Unlock()
	old.Close()
	m.start()
}

// sample is how much of what it bears came within the window, while it is cold.
func (m *machine) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if warm := m.warmth(); warm < 1 {
		sum := 0.0
		for _, a := range m.arrived {
			if time.Since(a.at) < coldWindow {
				sum += a.units
			}
		}
		m.heaviest = max(m.heaviest, sum/(4*warm*100*coldWindow.Seconds())) // two workers do 100 units a second
	}
}

func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	dark, workers, warm := m.dark, m.workers, m.warmth()
	units := 0.0
	if _, after, ok := strings.Cut(r.Header.Get("X-Placement"), "units="); ok {
		first, rest, _ := strings.Cut(after, ",")
		units, _ = strconv.ParseFloat(first, 64)
		if strings.HasPrefix(rest, "shard=-1") {
			m.sum += units
		}
		m.arrived = append(m.arrived, arrivedUnits{time.Now(), units})
	}
	m.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	hung := func() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-dark:
		hung()
	case workers <- struct{}{}:
	}
	time.Sleep(time.Duration(units * float64(unitTime) / warm))
	<-workers
	select {
	case <-dark:
		hung()
	default:
		m.mu.Lock()
		m.served++
		m.mu.Unlock()
	}
}

// Two rooms of stand-in nodes and three gateways, on the whole program: the first room says nothing for 6 s and comes back cold. While it returns, the load of its nodes by all
// gateways together never exceeds what they bear, sampled every 10 ms; what spills keeps to the bound of all gateways; each request has one answer in time; and in the
// end all nodes serve again.
func TestARoomIsLostAndRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network scenariotest.Network
		var machines []*machine
		var list []string
		for i := range 6 {
			room := "a"
			if i >= 3 {
				room = "b"
			}
			m := &machine{name: fmt.Sprint(room, i), network: &network}
			m.start()
			machines = append(machines, m)
			list = append(list, fmt.Sprintf(`{"host":"%s","dial":"%s:1","site":"%s","block":%d,"health":"up","share":1,"born_ms":0}`, m.name, m.name, room, i))
		}
		stop, cancel := context.WithCancel(context.Background())
		var ends sync.WaitGroup
		const spill, burst = 30.0, 24.0
		for i := range 3 {
			address := fmt.Sprintf("gate%d:1", i)
			conf, err := config.Parse([]byte(`{"name":"`+address+`","listen":"`+address+`","discovery":"disc:1","seed":"`+fmt.Sprint(i+1)+`","known":{"seq":1,"whole":true,"hosts":[`+strings.Join(list, ",")+`]},"settings":`+roomSettings+`}`),
				func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			operator := config.DefaultOperator()
			operator.ZoneFailover.Settings = zonefailover.Settings{Tiers: []int{0, 1}, Spillover: spill, Burst: burst, Siblings: 3, MembershipDelay: 0}
			g := Options{Config: conf, Operator: operator, Listener: network.Listen(address), Dial: network.Dial, Log: slog.New(slog.DiscardHandler)}
			ends.Go(func() {
				if err := Serve(stop, g); err != nil {
					t.Error(err)
				}
			})
		}
		began := time.Now()
		const length = 40 * time.Second
		var mu sync.Mutex
		asked, answered, lost := 0, map[int]int{}, 0
		var clients sync.WaitGroup
		for c := range 36 {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(uint64(c), 3))
				transport := &http.Transport{DialContext: network.Dial, MaxConnsPerHost: 1}
				defer transport.CloseIdleConnections()
				for n := 0; time.Since(began) < length; n++ {
					method, class, shard := "GET", "read", random.IntN(6)
					if random.IntN(3) == 0 {
						method, class, shard = "PUT", "write", -1
					}
					r, _ := http.NewRequest(method, fmt.Sprintf("http://gate%d:1/api/%016x/%016x", c%3, c, n), nil)
					for name, value := range map[string]string{"X-Request-Id": fmt.Sprint(c, "-", n), "X-Class": class, "X-Qos-Policy": "gold", "X-Deadline": "1400m", "Idempotency-Key": fmt.Sprint(c, "-", n),
						"X-Placement": fmt.Sprintf("units=2,shard=%d,hosts=1", shard)} {
						r.Header.Set(name, value)
					}
					at := time.Now()
					resp, err := transport.RoundTrip(r)
					took := time.Since(at)
					mu.Lock()
					if asked++; err != nil {
						t.Errorf("no answer: %v", err)
					} else {
						answered[resp.StatusCode]++
						if class == "write" && resp.StatusCode == http.StatusBadGateway {
							lost++
						}
						resp.Body.Close()
					}
					if took > 1450*time.Millisecond {
						t.Errorf("an answer after %v", took)
					}
					mu.Unlock()
					time.Sleep(time.Duration(random.ExpFloat64() * float64(250*time.Millisecond)))
				}
			})
		}
		spilt := func() (sum float64) {
			for _, m := range machines[3:] {
				m.mu.Lock()
				sum += m.sum
				m.mu.Unlock()
			}
			return sum
		}
		var before float64
		for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
			switch at {
			case 5 * time.Second:
				for _, m := range machines[:3] {
					m.lose()
				}
				before = spilt()
			case 11 * time.Second:
				if sum := spilt() - before; sum < 40 || sum > spill*6+burst {
					t.Errorf("%v units spilt in 6 s", sum)
				}
				for _, m := range machines[:3] {
					m.back()
				}
			case 35 * time.Second:
				for _, m := range machines {
					m.mu.Lock()
					m.served = 0
					m.mu.Unlock()
				}
			}
			time.Sleep(10 * time.Millisecond)
			for _, m := range machines {
				m.sample()
			}
		}
		clients.Wait()
		for _, m := range machines {
			m.mu.Lock()
			if m.heaviest > 1 {
				t.Errorf("%s got %.2f of what it bears while it was cold", m.name, m.heaviest)
			}
			if m.served < 10 {
				t.Errorf("%s serves %d requests at the end", m.name, m.served)
			}
			m.mu.Unlock()
		}
		if before > burst || answered[http.StatusOK] < asked/2 || lost > 30 {
			t.Errorf("%d asked, answered %v, %d new objects lost, %.0f units spilt while nothing was wrong", asked, answered, lost, before)
		}
		cancel()
		ends.Wait()
		for _, m := range machines {
			m.server.Close()
		}
		time.Sleep(time.Minute)
	})
}
