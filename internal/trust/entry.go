package trust

import (
	"math"
	"time"

	"reachpulley/scheduler"
)

// State is how far a node is trusted with an operation.
type State int

// The States, with the restriction that each brings unless Tracker.updateLevel lowers it. A state has the restrictions
// of the states above it as well.
const (
	Trusted    State = iota // no restriction
	Suspect                 // no hedged requests
	Probation               // no retries, and a response that denies that the call has run is not relied on
	Distrusted              // no new requests; they are rejected if all nodes with their data have to be avoided
)

// stateNames are the names of the States in the trust file and in events.
var stateNames = [...]string{
	Trusted:    "trusted",
	Suspect:    "doubted",
	Probation:  "on probation",
	Distrusted: "distrusted",
}

// String returns the name of a State in the trust file and in events.
func (s State) String() string { return stateNames[s] }

// stateLevels are the restriction levels of the States.
var stateLevels = [...]scheduler.RestrictionLevel{
	Trusted:    scheduler.Unrestricted,
	Suspect:    scheduler.NoHedging,
	Probation:  scheduler.NoRetries,
	Distrusted: scheduler.AvoidNode,
}

// Constants of the state machine. The unit of weight is one SchemaViolation.
const (
	suspectWeight  = 3.0  // weight at which a trusted node becomes suspect
	distrustWeight = 8.0  // weight at which a suspect node becomes distrusted
	clearedWeight  = 1.0  // highest weight at which a suspect or probation node can be trusted again; see also evict
	maxSoftWeight  = 12.0 // upper bound of the weight of all soft evidence
	maxHardWeight  = 24.0 // upper bound of the weight of all hard evidence

	// weightDecay is the time in which all weights decay by a factor of e.
	weightDecay = 30 * time.Second
	// minStateDuration is how long a state lasts at least before a better one follows, and how long a description
	// counts as wrong at least. For Distrusted, the hold applies instead.
	minStateDuration = 10 * time.Second

	// The hold is how long a node stays distrusted at least. It doubles each time the node becomes distrusted again,
	// between these bounds.
	minHold = 30 * time.Second
	maxHold = 10 * time.Minute
	// holdMemory is how long a node must be trusted before its last hold is forgotten.
	holdMemory = 30 * time.Minute
	// probationResponses is how many conforming responses a node must give before its probation can end.
	probationResponses = 20

	// maxClientWeight is the upper bound of the soft weight that is counted for one client.
	maxClientWeight = 0.45 * suspectWeight
	// trackedClients is the number of clients for which an entry counts soft weight.
	trackedClients = 8
)

// entryKey identifies an entry. The node allNodes stands for all nodes.
type entryKey struct{ operation, node string }

// entry holds how far a node is trusted with an operation, and the evidence for that.
type entry struct {
	key        entryKey
	version    string // version of the node's program, as last reported
	state      State
	since      time.Duration // when the state began
	decayedTo  time.Duration // time up to which the weights have decayed
	observedAt time.Duration // time of the last response
	softWeight float64
	hardWeight float64
	hold       time.Duration      // length of the last hold; 0: there was none, or it is forgotten
	conforming int                // conforming responses since the state began
	responses  int                // responses so far, with those of a restored Record
	counts     [evidenceKinds]int // number of these responses by evidence
	clients    [trackedClients]clientWeight
	sample     string   // description of the last contradiction
	worst      Evidence // kind with the largest weight so far, and the latest such kind if several have it
}

// clientWeight is the soft weight that is counted for one client.
type clientWeight struct {
	client uint64
	weight float64
}

// weight returns the weight of all evidence against the node.
func (e *entry) weight() float64 { return e.softWeight + e.hardWeight }

// decay reduces all weights for the time since the last decay.
func (e *entry) decay(now time.Duration) {
	if now <= e.decayedTo {
		return
	}
	factor := math.Exp(-(now - e.decayedTo).Seconds() / weightDecay.Seconds())
	e.decayedTo = now
	e.softWeight *= factor
	e.hardWeight *= factor
	for i := range e.clients {
		e.clients[i].weight *= factor
	}
}

// add counts the evidence of a response and adds its weight.
func (e *entry) add(report Report) {
	e.responses++
	e.counts[report.Evidence]++
	weight := evidenceWeights[report.Evidence]
	switch {
	case weight < 0:
		e.conforming++
		e.softWeight = max(0, e.softWeight+weight)
	case hardEvidence[report.Evidence]:
		e.hardWeight = min(maxHardWeight, e.hardWeight+weight)
	default:
		admitted := min(e.admitSoftWeight(report.Client, weight), maxSoftWeight-e.softWeight)
		e.softWeight += max(0, admitted)
	}
	if report.Evidence == Conforms {
		return
	}
	e.sample = report.Sample
	if weight >= evidenceWeights[e.worst] || e.worst == Conforms {
		e.worst = report.Evidence
	}
}

// admitSoftWeight limits the soft weight that one client can add to the entry to maxClientWeight. It returns how much
// of the weight the client may still add, and counts this for the client. A client that is not tracked replaces the one
// with the lowest weight and inherits that weight, so that a client gains nothing by changing its name (the
// space-saving sketch of A. Metwally et al., ICDT 2005).
func (e *entry) admitSoftWeight(client uint64, weight float64) float64 {
	tracked := &e.clients[e.clientIndex(client)]
	tracked.client = client
	admitted := max(0, min(weight, maxClientWeight-tracked.weight))
	tracked.weight += admitted
	return admitted
}

// clientIndex returns the index of a client if it is tracked, or else that of the client with the lowest weight.
func (e *entry) clientIndex(client uint64) int {
	lightest := 0
	for i := range e.clients {
		if e.clients[i].client == client && e.clients[i].weight > 0 {
			return i
		}
		if e.clients[i].weight < e.clients[lightest].weight {
			lightest = i
		}
	}
	return lightest
}

// step enters the state that follows from the weight and the time. Each state has a function with its transitions. A
// better state follows only after some time, so that a flapping node does not keep moving its traffic back and forth.
func (e *entry) step(now time.Duration) {
	switch e.state {
	case Trusted:
		e.stepTrusted(now)
	case Suspect:
		e.stepSuspect(now)
	case Probation:
		e.stepProbation(now)
	case Distrusted:
		e.stepDistrusted(now)
	}
}

// stepTrusted enters Suspect at suspectWeight. After holdMemory it forgets the last hold.
func (e *entry) stepTrusted(now time.Duration) {
	switch {
	case e.weight() >= suspectWeight:
		e.enter(now, Suspect)
	case e.hold > 0 && now-e.since >= holdMemory:
		e.hold = 0
	}
}

// stepSuspect enters Distrusted at distrustWeight, and Trusted when the weight is at most clearedWeight and
// minStateDuration has passed.
func (e *entry) stepSuspect(now time.Duration) {
	switch {
	case e.weight() >= distrustWeight:
		e.distrust(now)
	case e.weight() <= clearedWeight && now-e.since >= minStateDuration:
		e.enter(now, Trusted)
	}
}

// stepProbation enters Distrusted already at suspectWeight, and Trusted when the weight is at most clearedWeight,
// probationResponses responses have conformed and minStateDuration has passed.
func (e *entry) stepProbation(now time.Duration) {
	switch {
	case e.weight() >= suspectWeight:
		e.distrust(now)
	case e.weight() <= clearedWeight && e.conforming >= probationResponses && now-e.since >= minStateDuration:
		e.enter(now, Trusted)
	}
}

// stepDistrusted enters Probation when the hold is over and the weight is below half of suspectWeight.
func (e *entry) stepDistrusted(now time.Duration) {
	if e.weight() < suspectWeight/2 && now-e.since >= e.hold {
		e.enter(now, Probation)
	}
}

// enter makes state the state from now on.
func (e *entry) enter(now time.Duration, state State) {
	e.state = state
	e.since = now
	e.conforming = 0
}

// distrust enters Distrusted, which then lasts for at least e.hold: twice the last hold, but at least minHold and at
// most maxHold.
func (e *entry) distrust(now time.Duration) {
	e.hold = min(max(2*e.hold, minHold), maxHold)
	e.enter(now, Distrusted)
}

// contradictions returns the counts of all evidence against the node, by the name of its kind.
func (e *entry) contradictions() map[string]int {
	counts := map[string]int{}
	for evidence := Conforms + 1; evidence < evidenceKinds; evidence++ {
		if e.counts[evidence] > 0 {
			counts[evidence.String()] = e.counts[evidence]
		}
	}
	return counts
}
