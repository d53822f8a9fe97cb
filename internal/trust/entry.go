package trust

import (
	"math"
	"time"

	"reachpulley/scheduler"
)

// State is how far a node is trusted with an operation.
type State int

// The States, by what they cost.
const (
	Trusted    State = iota // nothing
	Suspect                 // hedged requests
	Probation               // retries, and a response that denies that the call ran is not relied on
	Distrusted              // all new requests while another node can take them
)

// stateNames are stored in the trust file and are values of events.
var stateNames = [...]string{
	Trusted:    "trusted",
	Suspect:    "doubted",
	Probation:  "on probation",
	Distrusted: "distrusted",
}

// String returns the name that the trust file and events use.
func (s State) String() string { return stateNames[s] }

// stateLevels are the restrictions of the States.
var stateLevels = [...]scheduler.RestrictionLevel{
	Trusted:    scheduler.Unrestricted,
	Suspect:    scheduler.NoHedging,
	Probation:  scheduler.NoRetries,
	Distrusted: scheduler.AvoidNode,
}

// Tuned values of the state machine. Weights are in units of one violation of a schema.
const (
	suspectWeight  = 3.0  // from which a node is suspect
	distrustWeight = 8.0  // from which it is distrusted
	clearedWeight  = 1.0  // up to which it can be trusted again
	maxSoftWeight  = 12.0 // of soft evidence
	maxHardWeight  = 24.0 // of hard evidence

	// weightDecay is the time in which all weight decays by a factor of e.
	weightDecay = 30 * time.Second
	// minStateDuration is how long a state lasts at least before it gets better. For Distrusted that is the hold.
	minStateDuration = 10 * time.Second

	// The hold of a distrust doubles from one to the next between these bounds.
	minHold = 30 * time.Second
	maxHold = 10 * time.Minute
	// holdMemory is for how long a node must be trusted before its earlier distrust is forgotten.
	holdMemory = 30 * time.Minute
	// probationAnswers is how many conforming responses end a probation.
	probationAnswers = 20

	// maxClientWeight bounds the weight of one client's soft evidence.
	maxClientWeight = 0.45 * suspectWeight
	// trackedClients is the number of clients whose part of the soft weight is tracked.
	trackedClients = 8
)

// entryKey names an entry. An empty node stands for all nodes.
type entryKey struct{ operation, node string }

// entry is the trust in a node for an operation.
type entry struct {
	key        entryKey
	version    string
	state      State
	since      time.Duration // of the state
	decayedTo  time.Duration // time to which the weights have decayed
	observedAt time.Duration // time of the last response
	softWeight float64
	hardWeight float64
	hold       time.Duration // of the last distrust; 0: there was none
	conforming int           // responses since the state began
	answers    int           // responses since the start
	counts     [evidenceKinds]int
	clients    [trackedClients]clientWeight
	sample     string // of the last contradiction
	worst      Evidence
}

// clientWeight is one client's part of the soft weight.
type clientWeight struct {
	client uint64
	weight float64
}

func (e *entry) weight() float64 { return e.softWeight + e.hardWeight }

// decay reduces all weight by the time that has passed.
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

// add weighs the evidence of a response.
func (e *entry) add(report Report) {
	e.answers++
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

// admitSoftWeight returns how much of a weight still counts for a client, and adds it to the client's part. A client
// that is not tracked replaces the one with the least weight and inherits that weight, so that new names gain nothing
// (the space-saving sketch of A. Metwally et al., ICDT 2005).
func (e *entry) admitSoftWeight(client uint64, weight float64) float64 {
	tracked := &e.clients[e.clientIndex(client)]
	tracked.client = client
	admitted := max(0, min(weight, maxClientWeight-tracked.weight))
	tracked.weight += admitted
	return admitted
}

// clientIndex returns the index of a tracked client, or of the one with the least weight.
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

// step moves on to the state that weight and time call for, by one function per state. A state gets better only after
// some time, so that a flapping node does not drag its traffic back and forth.
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

// stepTrusted leads to Suspect at the suspect weight.
func (e *entry) stepTrusted(now time.Duration) {
	switch {
	case e.weight() >= suspectWeight:
		e.enter(now, Suspect)
	case e.hold > 0 && now-e.since >= holdMemory:
		e.hold = 0
	}
}

// stepSuspect leads to Distrusted at the distrust weight, and back to Trusted when the weight is cleared.
func (e *entry) stepSuspect(now time.Duration) {
	switch {
	case e.weight() >= distrustWeight:
		e.distrust(now)
	case e.weight() <= clearedWeight && now-e.since >= minStateDuration:
		e.enter(now, Trusted)
	}
}

// stepProbation leads back to Distrusted already at the suspect weight, and to Trusted when the weight is cleared and
// enough responses have conformed.
func (e *entry) stepProbation(now time.Duration) {
	switch {
	case e.weight() >= suspectWeight:
		e.distrust(now)
	case e.weight() <= clearedWeight && e.conforming >= probationAnswers && now-e.since >= minStateDuration:
		e.enter(now, Trusted)
	}
}

// stepDistrusted leads to Probation when the hold is over and the weight is well below that of a suspect.
func (e *entry) stepDistrusted(now time.Duration) {
	if e.weight() < suspectWeight/2 && now-e.since >= e.hold {
		e.enter(now, Probation)
	}
}

func (e *entry) enter(now time.Duration, state State) {
	e.state = state
	e.since = now
	e.conforming = 0
}

// distrust enters Distrusted with a hold that doubles each time.
func (e *entry) distrust(now time.Duration) {
	e.hold = min(max(2*e.hold, minHold), maxHold)
	e.enter(now, Distrusted)
}

// contradictions returns the counts of all evidence against the node, by name.
func (e *entry) contradictions() map[string]int {
	counts := map[string]int{}
	for evidence := Conforms + 1; evidence < evidenceKinds; evidence++ {
		if e.counts[evidence] > 0 {
			counts[evidence.String()] = e.counts[evidence]
		}
	}
	return counts
}
