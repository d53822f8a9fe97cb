package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever the demand at a fleet, and however uneven it is, a warming node is used and gets no more load than it can
// take, except by chance. If each host could always send one request, or a fixed share of its demand, thirty hosts
// together would overload the node.
func TestFleetKeepsTheSlowStartAllowanceUnderUnevenDemand(t *testing.T) {
	for _, hosts := range []int{3, 12, 30, 300} {
		for _, demand := range []float64{0.5, 1, 2.5, 5} { // as a multiple of the warm node's capacity
			for seed := range uint64(4) {
				name := fmt.Sprintf("%d hosts, demand %v, seed %d", hosts, demand, seed)
				t.Run(name, func(t *testing.T) { newWarmingFleet(t, hosts, demand, seed).run() })
			}
		}
	}
}

// Times since the start of a simulated fleet.
const (
	replacedAt  = 10 * time.Second            // the node is replaced by one that has just started
	burstAt     = 15 * time.Second            // the demand doubles
	fleetEndsAt = replacedAt + 16*time.Second // the simulation ends
)

// warmingFleet simulates a fleet of hosts that send random requests to one node.
type warmingFleet struct {
	t         *testing.T
	settings  Settings
	demand    float64 // demand from burstAt on, as a multiple of the warm node's capacity
	warmRate  float64 // units a second that the warm node can serve
	random    *rand.Rand
	harnesses []*harness
	now       time.Duration // time since the start of the fleet
	sent      []recentSend  // attempts sent to the node "new" within the last SlowStartWindow
	sentUnits float64       // units sent to the node "new"
}

func newWarmingFleet(t *testing.T, hosts int, demand float64, seed uint64) *warmingFleet {
	settings := baseSettings()
	settings.Siblings = hosts
	rules := Rules{
		SlowStartShare:     0.18,
		SlowStartDuration:  17 * time.Second,
		SlowStartWindow:    3 * time.Second,
		SlowStartAllowance: 76,
		SlowStartMultiple:  4,
	}
	settings.Rules = rules
	warmUnits := rules.SlowStartAllowance / rules.SlowStartShare / rules.SlowStartMultiple
	fleet := &warmingFleet{
		t:         t,
		settings:  settings,
		demand:    demand,
		warmRate:  warmUnits / rules.SlowStartWindow.Seconds(),
		random:    rand.New(rand.NewPCG(seed, uint64(hosts))),
		harnesses: make([]*harness, hosts),
	}
	for i := range fleet.harnesses {
		h := newEmptyHarness(t, settings, fleet.random.Uint64())
		h.list(FullList, Node{ID: "old", StartedAt: 0})
		fleet.harnesses[i] = h
	}
	return fleet
}

func (f *warmingFleet) run() {
	replaced := false
	for number := 0; f.now < fleetEndsAt; number++ {
		f.now += f.pause()
		h := f.host()
		if f.now >= replacedAt && !replaced {
			f.replaceNode()
			replaced = true
		}
		h.now = time.Minute + f.now
		units := []float64{1, 1, 1, 2, 2, 2, 2, 2, 3, 6}[f.random.IntN(10)]
		if f.request(h, number, units) && f.now >= replacedAt {
			f.sentUnits += units
			f.checkWindow()
		}
	}
	// The demand, or the units that the node can serve while it warms up, whichever is less, in the 16 s from
	// replacedAt to the end. The demand is at least 0.8 of f.demand on average; 0.59 is the mean of SlowStartShare and
	// 1.
	possible := min(f.demand*0.8, 0.59) * f.warmRate * 16
	if f.sentUnits < possible/4 {
		f.t.Errorf("%.0f units sent, want at least a quarter of the %.0f that the node could serve",
			f.sentUnits, possible)
	}
}

// pause returns the random time until the next request. Requests have 2.2 units on average. Before burstAt, the demand
// is half of what it is afterwards.
func (f *warmingFleet) pause() time.Duration {
	rate := f.demand * f.warmRate / 2 / 2.2
	if f.now >= burstAt {
		rate *= 2
	}
	return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
}

// host returns the random host of the next request. A tenth of the hosts gets half of the requests, in addition to its
// equal share of the other half.
func (f *warmingFleet) host() *harness {
	h := f.harnesses[f.random.IntN(len(f.harnesses))]
	if f.random.IntN(2) == 0 {
		h = f.harnesses[f.random.IntN((len(f.harnesses)+9)/10)]
	}
	return h
}

func (f *warmingFleet) replaceNode() {
	for _, h := range f.harnesses {
		h.now = time.Minute + replacedAt
		h.list(FullList, Node{ID: "new", StartedAt: h.now})
	}
}

// request sends a request to a host, serves it if the host sends it to the node, and reports whether the host did.
func (f *warmingFleet) request(h *harness, number int, units float64) (sent bool) {
	h.TimerFired(h.now, housekeepingTimer)
	before := len(h.sends)
	h.RequestArrived(h.now, Request{
		ID:            fmt.Sprint(number),
		Volume:        fmt.Sprint(number),
		Units:         units,
		ClientTimeout: 100 * ms,
		Hosts:         1,
	})
	for _, send := range h.sends[before:] {
		f.sent = append(f.sent, recentSend{at: f.now, units: units})
		h.AttemptEnded(h.now, Outcome{
			ID:        send.id,
			Node:      send.node,
			Result:    Served,
			Latency:   40 * ms,
			Concluded: true,
			VolumeUse: -1,
		})
	}
	return len(h.sends) > before
}

// checkWindow checks that the requests sent within the last SlowStartWindow do not overload the node by more than
// chance explains, which is taken to be two standard deviations and two requests.
func (f *warmingFleet) checkWindow() {
	for f.sent[0].at < replacedAt || f.sent[0].at <= f.now-f.settings.Rules.SlowStartWindow {
		f.sent = f.sent[1:]
	}
	units := 0.0
	for _, send := range f.sent {
		units += send.units
	}
	warmth := min(1, 0.18+0.82*(f.now-replacedAt).Seconds()/17)
	bearable := 4 * warmth * f.warmRate * 3 / 2 // requests of two units in a SlowStartWindow
	if requests := units / 2; requests > bearable+2*math.Sqrt(bearable)+2 {
		f.t.Fatalf("%v requests of two units in a SlowStartWindow, %v after the node started; the node can take %.0f, "+
			"want at most %.0f", requests, f.now-replacedAt, bearable, bearable+2*math.Sqrt(bearable)+2)
	}
}
