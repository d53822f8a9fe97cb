package zonefailover

import "time"

// Tuned values of the state machine of zones. All shares are by size of nodes.
const (
	// suspectShare is the silent share of the contacted nodes from which a zone is suspect.
	suspectShare = 0.5
	// unavailableShare is the silent share of the contacted nodes from which a zone counts as silent.
	unavailableShare = 0.8
	// degradedShare is the share of all nodes that are removed or unavailable from which a zone is degraded.
	degradedShare = 0.2
	// recoveredShare is the share of all nodes that must respond or be removed before a zone has recovered.
	recoveredShare = 0.5
	// longOutageAfter is how long a node is unavailable before that counts as an outage of its own, which says
	// nothing of its zone while other nodes there respond.
	longOutageAfter = 2 * time.Second
	// A zone must recover for the recovery time before it counts as available. That doubles with each outage in a row.
	minRecoveryTime = time.Second
	maxRecoveryTime = 64 * time.Second
	// flapMemory is for how long a zone must be available before its earlier outages are forgotten.
	flapMemory = 5 * time.Minute
)

// ZoneHealth is the health of a zone and what it follows from. It is stored in snapshots.
type ZoneHealth struct {
	State           State
	Since           time.Duration // of State
	Flaps           int           // recent outages, one after the other
	RecoveryTime    time.Duration `json:"Calm"`   // for which it must respond after an outage before it is available
	RespondingShare float64       `json:"Heard"`  // of its nodes, by size
	SilentShare     float64       `json:"Silent"` // of the contacted nodes, by size
	RemovedShare    float64       `json:"Gone"`   // of its nodes, by size
	Nodes           int

	SilentSince time.Duration // since when at least unavailableShare is silent; 0 if it is not
}

// zoneTotals sums up the nodes of a zone, by size.
type zoneTotals struct {
	nodes           int // their number
	all             float64
	removed         float64
	responding      float64 // available or recovering
	unavailable     float64
	longUnavailable float64 // for longer than longOutageAfter
	contacted       float64 // that have an attempt in flight, responded some time, or are suspect or unavailable
	silent          float64 // that are suspect or unavailable
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

// silentShare returns the silent share of the contacted nodes. Nodes that have been unavailable for long while others
// in the zone respond are left out.
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

// allSilent reports whether all zones with contacted nodes are silent: then the gateway itself is isolated. A single
// zone is not enough: whether the zone is unavailable or the gateway is isolated can't be told apart.
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

// zoneObservation is what the state machine of a zone moves on by.
type zoneObservation struct {
	now         time.Duration
	silentShare float64
	responding  bool // at least one node does
	suspect     bool // suspectShare is silent, and the gateway is not isolated
	silent      bool // unavailableShare is silent, and the gateway is not isolated
	degraded    bool // degradedShare is removed or unavailable
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

// nextState returns the state that an observation calls for. The transitions are those of one function per state.
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

// nextFromAvailable leads from Available or Degraded to Suspect as soon as suspectShare is silent, and otherwise to
// Degraded or Available by whether a part of the zone is removed or unavailable.
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

// nextFromSuspect leads to Unavailable once the zone has been silent for unavailableAfter, and back to Available when
// less than suspectShare is silent or the gateway itself is isolated.
func (z *ZoneHealth) nextFromSuspect(observation *zoneObservation) State {
	switch {
	case z.SilentSince > 0 && observation.now-z.SilentSince >= unavailableAfter:
		return Unavailable
	case !observation.suspect:
		return Available
	}
	return Suspect
}

// nextFromUnavailable leads to Recovering when a node responds and less than unavailableShare is silent.
func nextFromUnavailable(observation *zoneObservation) State {
	if observation.responding && observation.silentShare < unavailableShare {
		return Recovering
	}
	return Unavailable
}

// nextFromRecovering leads back to Unavailable as soon as the zone is silent, and to Available or Degraded when it has
// responded for the recovery time, enough of its nodes respond and it is not suspect.
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

// countOutage makes the zone recover for longer after each outage, so that a flapping zone does not drag traffic back
// and forth.
func (z *ZoneHealth) countOutage() {
	if z.State == Recovering || z.Flaps > 0 {
		z.Flaps++
		z.RecoveryTime = min(2*z.RecoveryTime, maxRecoveryTime)
		return
	}
	z.Flaps = 1
}
