package simulation

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Indices of the classes in zoneSettings.
const (
	readClass  = 0 // reads of objects, which only the nodes of their shard can serve
	writeClass = 1 // writes of new objects, which any node can take
)

const (
	volumeCount = 40
	maxUnits    = 3 // a request has from 1 to maxUnits units, all equally likely
	meanUnits   = 2 // mean number of units of a request

	// answerTolerance is the longest time after the client timeout at which an answer is still in time.
	answerTolerance = 20 * time.Millisecond
	// missingAfter is the time after the client timeout at which an answer counts as missing.
	missingAfter = 30 * time.Millisecond
)

// zoneRun is a scenario that is being simulated.
type zoneRun struct {
	scenario   ZoneScenario
	simulation *Simulation
	began      time.Duration
	nodes      []*Node // zone by zone
	gateways   []*Gateway
	rate       float64 // units per second that all clients together request
	result     *ZoneResult
	spillover  map[int][]arrival // units of new objects sent to other zones, by zone of the gateway
	detection  detection
}

func newZoneRun(scenario ZoneScenario) *zoneRun {
	s := New(scenario.Seed)
	return &zoneRun{
		scenario:   scenario,
		simulation: s,
		began:      s.Now,
		result: &ZoneResult{
			// One more for events at the end of the last second.
			Seconds:            make([]ZoneSecond, int(scenario.Length/time.Second)+1),
			LastAttemptsByNode: map[string]int{},
			DetectedAfter:      -1,
		},
		spillover: map[int][]arrival{},
	}
}

func (r *zoneRun) addNodes() {
	for zone := range r.scenario.Zones {
		for i := range r.scenario.NodesPerZone {
			r.nodes = append(r.nodes, &Node{
				Node: scheduler.Node{
					ID:    nodeID(zone, i),
					Zone:  zone,
					Shard: zone*r.scenario.NodesPerZone + i,
					Size:  1,
				},
				Simulation:  r.simulation,
				Workers:     2,
				MaxQueue:    40,
				ServiceTime: 20 * time.Millisecond,
				Speed:       1,
				SlowStart: SlowStart{
					StartShare: slowStartShare,
					Duration:   slowStartDuration,
					Multiple:   slowStartMultiple,
					Window:     slowStartWindow,
				},
				Executions: map[string]int{},
			})
		}
	}
	r.rate = r.scenario.Load * float64(len(r.nodes)) * r.nodes[0].Rate()
}

func (r *zoneRun) addGateway(number int) error {
	zone := number % r.scenario.Zones
	settings := r.scenario.settings(zone, r.nodes[0].Rate())
	g, err := NewGateway(r.simulation, settings, r.nodes)
	if err != nil {
		return err
	}
	if r.scenario.Passthrough {
		g.Scheduler = newPassthrough(r.simulation, g, r.nodes, settings.Allowed.MaxAttempts)
	}
	g.Partitioned = map[int]bool{}
	g.OnAttempt = func(request scheduler.Request, node *Node) { r.recordAttempt(zone, request, node) }
	r.gateways = append(r.gateways, g)
	r.simulation.After(0, func() { r.scheduleRequest(g) })
	return nil
}

// second returns the result's element for the current second.
func (r *zoneRun) second() *ZoneSecond {
	return secondAt(r.result.Seconds, r.simulation.Now-r.began)
}

// scheduleRequest schedules the next request of clients to a gateway, at a random time. Each request schedules the next
// one until the scenario ends.
func (r *zoneRun) scheduleRequest(g *Gateway) {
	requestRate := r.rate / float64(len(r.gateways)) / meanUnits
	delay := time.Duration(r.simulation.Random.ExpFloat64() / requestRate * float64(time.Second))
	r.simulation.After(delay, func() {
		if r.simulation.Now < r.began+r.scenario.Length {
			r.submit(g, 1)
			r.scheduleRequest(g)
		}
	})
}

// newRequest returns a random request.
func (r *zoneRun) newRequest() scheduler.Request {
	random := r.simulation.Random
	request := scheduler.Request{
		Volume: fmt.Sprint("v", random.IntN(volumeCount)),
		Key:    fmt.Sprint(random.IntN(1 << 30)),
		Units:  float64(1 + random.IntN(maxUnits)),
		Shard:  random.IntN(len(r.nodes)),
		Class:  readClass,
		Hosts:  len(r.gateways),
	}
	if random.Float64() < r.scenario.NewObjectShare {
		request.Class = writeClass
		request.Shard = scheduler.AnyShard
	}
	request.ClientTimeout = zoneSettings.Classes[request.Class].Deadline
	return request
}

// submit submits a random request. If an answer other than Served comes before the client timeout, the client submits
// another random request instead of a retry, up to retries times.
func (r *zoneRun) submit(g *Gateway, retries int) {
	s := r.simulation
	request := r.newRequest()
	submitted := s.Now
	answers := 0
	id := ""
	id = g.Submit(request, func(answer Answer) {
		answers++
		if answers > 1 {
			r.recordViolation("%s has %d answers", id, answers)
		}
		latency := s.Now - submitted
		if late := latency - request.ClientTimeout; late > answerTolerance {
			r.recordViolation("%s is answered %v late", id, late)
		}
		r.countAnswer(request, answer, latency)
		if answer.Verdict != Served && retries > 0 && latency < request.ClientTimeout {
			s.After(answer.RetryAfter, func() { r.submit(g, retries-1) })
		}
	})
	s.After(request.ClientTimeout+missingAfter, func() {
		if answers == 0 {
			r.recordViolation("%s has no answer", id)
		}
	})
}

// countAnswer counts an answer in the current second.
func (r *zoneRun) countAnswer(request scheduler.Request, answer Answer, latency time.Duration) {
	second := r.second()
	switch answer.Verdict {
	case Served:
		second.Served++
		if latency > zoneSettings.Classes[request.Class].LatencyObjective {
			second.Late++
		}
	case Rejected:
		second.Rejected++
	case Failed:
		second.Failed++
		if request.Shard == scheduler.AnyShard {
			second.NewObjectsLost++
		}
	}
}

// apply carries out an event.
func (r *zoneRun) apply(event ZoneEvent) {
	if event.Gateway >= 0 {
		r.gateways[event.Gateway%len(r.gateways)].Partitioned[event.Zone] = event.Unavailable
		return
	}
	count := r.scenario.NodesPerZone
	if event.NodeShare > 0 {
		count = int(event.NodeShare * float64(r.scenario.NodesPerZone))
	}
	first := event.Zone * r.scenario.NodesPerZone
	for _, n := range r.nodes[first : first+count] {
		if n.Crashed || n.Unresponsive == event.Unavailable { // crashed for good, or in the wanted state already
			continue
		}
		n.Unresponsive = event.Unavailable
		switch {
		case event.Unavailable:
			if r.detection.lostAt == 0 {
				r.detection.lostAt = r.simulation.Now
			}
		case event.Restarted:
			n.Restart()
			n.StartedAt = n.Started
			r.announceRestart(n)
		default:
			n.Reset()
		}
	}
}

// announceRestart notifies each gateway of a node's restart, each after another random delay.
func (r *zoneRun) announceRestart(n *Node) {
	for _, g := range r.gateways {
		delay := time.Duration(r.simulation.Random.Float64() * float64(r.scenario.MembershipDelay))
		r.simulation.After(delay, func() {
			g.Scheduler.MembershipChanged(r.simulation.Now, scheduler.Membership{
				Kind:  scheduler.DeltaList,
				Nodes: []scheduler.Node{n.Node},
			})
		})
	}
}
