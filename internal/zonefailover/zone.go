package zonefailover

import "time"

// Constants of the state machine of zones. Nodes count by their size in all shares.
const (
	// suspectShare is the share of the contacted nodes that must be silent for a zone to be suspect.
	suspectShare = 0.5
	// unavailableShare is the share of the contacted nodes that must be silent for a zone to count as silent.
	unavailableShare = 0.8
	// degradedShare is the share of all nodes that must be removed or unavailable for a zone to be degraded.
	degradedShare = 0.2
	// recoveredShare is the share of all nodes that must respond or be removed for a zone to have recovered.
	recoveredShare = 0.5
	// longOutageAfter is how long a node must be unavailable before this counts as an outage of the node alone, which
	// says nothing about its zone while other nodes of the zone respond.
	longOutageAfter = 2 * time.Second
	// A zone is recovering for its recovery time at least before it is available again. The recovery time doubles with
	// each further outage in a row, between these bounds.
	minRecoveryTime = time.Second
	maxRecoveryTime = 64 * time.Second
	// flapMemory is how long a zone must be available, or degraded, before its earlier outages are forgotten.
	flapMemory = 5 * time.Minute
)

// ZoneHealth is the state of a zone and the figures that determine it. It is stored in snapshots.
type ZoneHealth struct {
	State           State
	Since           time.Duration // when State began
	Flaps           int           // outages in a row: those that are not forgotten yet (see flapMemory)
	RecoveryTime    time.Duration `json:"Calm"`   // how long it is recovering at least before it is available again
	RespondingShare float64       `json:"Heard"`  // share of responding nodes among all of the zone, weighted by size
	SilentShare     float64       `json:"Silent"` // share of silent nodes among the contacted ones, weighted by size
	RemovedShare    float64       `json:"Gone"`   // share of removed nodes among all of the zone, weighted by size
	Nodes           int

	// SilentSince is since when at least unavailableShare has been silent. It is 0 if less is silent, or if the gateway
	// itself is isolated.
	SilentSince time.Duration
}

// zoneTotals sums up the weights of the nodes of a zone.
type zoneTotals struct {
	nodes           int     // number of nodes
	all             float64 // weight of all nodes; the fields below are parts of it
	removed         float64
	responding      float64 // available or recovering
	unavailable     float64
	longUnavailable float64 // unavailable for longer than longOutageAfter
	contacted       float64 // have an attempt in flight, have ever responded, or are suspect or unavailable
	silent          float64 // suspect or unavailable
}

func (t *zoneTotals) add(now time.Duration, n *node) {
	weight := n.weight()
	t.nodes++
	t.all += weight
	switch {
	case n.Removed:
		t.removed += weight
		return
	case n.state == Unavailable:
		if now-n.since > longOutageAfter {
			t.longUnavailable += weight
		}
		t.unavailable += weight
		t.contacted += weight
		t.silent += weight
	case n.state == Suspect:
		t.contacted += weight
		t.silent += weight
	case n.UnansweredFor > 0 || n.LastResponse > 0:
		t.contacted += weight
	}
	if n.state == Available || n.state == Recovering {
		t.responding += weight
	}
}

// silentShare returns the silent share of the contacted nodes. If any node of the zone responds, the nodes that have
// been unavailable for longer than longOutageAfter are left out.
func (t *zoneTotals) silentShare() float64 {
	contacted := t.contacted
	silent := t.silent
	if t.responding > 0 {
		contacted -= t.longUnavailable
		silent -= t.longUnavailable
	}
	if contacted <= 0 {
		return 0
	}
	return silent / contacted
}

// allSilent reports whether all zones with contacted nodes are silent, which means that the gateway itself is isolated.
// A single such zone is not enough: an unavailable zone and an isolated gateway would look the same.
func allSilent(zones []zoneTotals) bool {
	contacted := 0
	for i := range zones {
		if zones[i].contacted <= 0 {
			continue
		}
		contacted++
		if zones[i].silentShare() < unavailableShare {
			return false
		}
	}
	return contacted > 1
}

// zoneObservation is the input of the state machine of a zone.
type zoneObservation struct {
	now         time.Duration
	silentShare float64
	responding  bool // at least one node responds
	suspect     bool // at least suspectShare is silent, and the gateway is not isolated
	silent      bool // at least unavailableShare is silent, and the gateway is not isolated
	degraded    bool // at least degradedShare is removed or unavailable
}

// observe takes the totals of the zone's nodes and returns the change of state that they cause, or nil.
func (z *ZoneHealth) observe(now time.Duration, zone int, totals *zoneTotals, isolated bool) *Change {
	share := totals.silentShare()
	z.recordShares(totals, share)
	observation := zoneObservation{
		now:         now,
		silentShare: share,
		responding:  totals.responding > 0,
		suspect:     share >= suspectShare && !isolated,
		silent:      share >= unavailableShare && !isolated,
		degraded:    totals.all > 0 && (totals.removed+totals.unavailable)/totals.all >= degradedShare,
	}
	z.recordSilence(&observation)
	from := z.State
	next := z.nextState(&observation)
	if next == from {
		return nil
	}
	if next == Unavailable {
		z.countOutage()
	}
	z.State = next
	z.Since = now
	return &Change{At: now, Zone: zone, From: from, To: next, SilentShare: share, Isolated: isolated}
}

func (z *ZoneHealth) recordShares(totals *zoneTotals, silentShare float64) {
	z.SilentShare = silentShare
	z.Nodes = totals.nodes
	z.RespondingShare = 0
	z.RemovedShare = 0
	if totals.all > 0 {
		z.RespondingShare = totals.responding / totals.all
		z.RemovedShare = totals.removed / totals.all
	}
}

func (z *ZoneHealth) recordSilence(observation *zoneObservation) {
	switch {
	case !observation.silent:
		z.SilentSince = 0
	case z.SilentSince == 0:
		z.SilentSince = observation.now
	}
}

// nextState returns the state that follows from an observation. Each state has a function with its transitions.
func (z *ZoneHealth) nextState(observation *zoneObservation) State {
	switch z.State {
	case Available, Degraded:
		return z.nextFromAvailable(observation)
	case Suspect:
		return z.nextFromSuspect(observation)
	case Unavailable:
		return nextFromUnavailable(observation)
	case Recovering:
		return z.nextFromRecovering(observation)
	}
	return z.State
}

// nextFromAvailable returns the state after Available or Degraded: Suspect as soon as suspectShare is silent, otherwise
// Degraded or Available, depending on whether degradedShare is removed or unavailable. It forgets earlier outages after
// flapMemory.
func (z *ZoneHealth) nextFromAvailable(observation *zoneObservation) State {
	if observation.suspect {
		return Suspect
	}
	if observation.degraded {
		return Degraded
	}
	if z.Flaps > 0 && observation.now-z.Since >= flapMemory {
		z.Flaps = 0
		z.RecoveryTime = minRecoveryTime
	}
	return Available
}

// nextFromSuspect returns the state after Suspect: Unavailable once the zone has been silent for unavailableAfter, and
// Available when less than suspectShare is silent or the gateway itself is isolated.
func (z *ZoneHealth) nextFromSuspect(observation *zoneObservation) State {
	switch {
	case z.SilentSince > 0 && observation.now-z.SilentSince >= unavailableAfter:
		return Unavailable
	case !observation.suspect:
		return Available
	}
	return Suspect
}

// nextFromUnavailable returns Recovering when a node responds and less than unavailableShare is silent.
func nextFromUnavailable(observation *zoneObservation) State {
	if observation.responding && observation.silentShare < unavailableShare {
		return Recovering
	}
	return Unavailable
}

// nextFromRecovering returns the state after Recovering: Unavailable as soon as the zone is silent, and Available or
// Degraded when the recovery time has passed, recoveredShare of the nodes respond or are removed, and less than
// suspectShare is silent.
func (z *ZoneHealth) nextFromRecovering(observation *zoneObservation) State {
	if observation.silent {
		return Unavailable
	}
	recovered := observation.now-z.Since >= z.RecoveryTime &&
		z.RespondingShare+z.RemovedShare >= recoveredShare &&
		observation.silentShare < suspectShare
	switch {
	case !recovered:
		return Recovering
	case observation.degraded:
		return Degraded
	}
	return Available
}

// countOutage counts an outage. The recovery time doubles with each further outage in a row, so that a flapping zone
// does not keep moving traffic back and forth.
func (z *ZoneHealth) countOutage() {
	if z.State == Recovering || z.Flaps > 0 {
		z.Flaps++
		z.RecoveryTime = min(2*z.RecoveryTime, maxRecoveryTime)
		return
	}
	z.Flaps = 1
}
