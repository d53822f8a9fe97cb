package zonefailover

import (
	"cmp"
	"time"
)

// Observation is what a gateway observes of a node at one time.
type Observation struct {
	ID   string
	Zone int `json:"Room"`
	// Size is the share of a usual node's work that the node can do. 0 counts as 1.
	Size float64
	// Removed means that the node is listed as removed or draining, so that no response is expected of it.
	Removed bool `json:"Gone"`
	// UnansweredFor is for how long the oldest attempt has been in flight. 0 means that none is.
	UnansweredFor time.Duration `json:"Waiting"`
	// UsualLatency is the latency of a usual response, as far as is known.
	UsualLatency time.Duration `json:"Usual"`
	// LastResponse is when anything last came from the node, a response or a refused connection. 0 means never.
	LastResponse time.Duration `json:"Heard"`
}

// Tuned values of the state machine of nodes.
const (
	// An attempt counts as silent after silenceFactor usual latencies, within the two bounds. A node now and then
	// stands still for as long as the lower one.
	silenceFactor       = 4
	minSilenceThreshold = 120 * time.Millisecond
	maxSilenceThreshold = 400 * time.Millisecond
	// unavailableAfter is for how long a node, or most of a zone, must be silent before it is unavailable.
	unavailableAfter = 250 * time.Millisecond
	// nodeRecoveryTime is for how long a node must respond before it is available again.
	nodeRecoveryTime = time.Second
	// Trial requests to an unavailable node go out at intervals that double between these bounds.
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = 3200 * time.Millisecond
)

// node is the health of a node.
type node struct {
	Observation   // the last one
	state         State
	since         time.Duration // of the state
	trialAt       time.Duration // earliest time of the next trial request, while it is unavailable
	trialInterval time.Duration
}

// observe takes an observation and returns the change of state that it causes, or nil.
func (n *node) observe(now time.Duration, observation *Observation) *Change {
	responded := observation.LastResponse > n.LastResponse
	n.Observation = *observation
	from := n.state
	next := n.nextState(now, responded)
	if next == from {
		return nil
	}
	n.state = next
	n.since = now
	if next == Unavailable {
		n.trialInterval = minTrialInterval
		n.trialAt = now + minTrialInterval
	}
	return &Change{At: now, Zone: n.Zone, Node: n.ID, From: from, To: next}
}

// nextState returns the state that the last observation calls for. The transitions are:
//
//   - any state to Unavailable: the node has been silent for unavailableAfter;
//   - Available to Suspect: it is silent;
//   - Suspect to Available, Unavailable to Recovering: it has responded;
//   - Recovering to Available: nodeRecoveryTime is over and it is not silent.
//
// Nodes are never Degraded.
func (n *node) nextState(now time.Duration, responded bool) State {
	silent := n.silent(now)
	if silent && n.state != Unavailable && n.UnansweredFor > n.silenceThreshold()+unavailableAfter {
		return Unavailable
	}
	switch n.state {
	case Available:
		if silent {
			return Suspect
		}
	case Suspect:
		if responded {
			return Available
		}
	case Unavailable:
		if responded {
			return Recovering
		}
	case Recovering:
		if !silent && now-n.since >= nodeRecoveryTime {
			return Available
		}
	}
	return n.state
}

// silenceThreshold is the time after which an attempt without a response counts as silent.
func (n *node) silenceThreshold() time.Duration {
	return min(max(silenceFactor*n.UsualLatency, minSilenceThreshold), maxSilenceThreshold)
}

// silent reports whether an attempt has been in flight for too long and nothing else came from the node meanwhile.
func (n *node) silent(now time.Duration) bool {
	threshold := n.silenceThreshold()
	return !n.Removed && n.UnansweredFor > threshold && now-n.LastResponse > threshold
}

// weight is the node's size in sums over a zone.
func (n *node) weight() float64 { return cmp.Or(n.Size, 1) }

// takeTrial reports whether a trial request may go to an unavailable node now, and schedules the next one.
func (n *node) takeTrial(now time.Duration) bool {
	if now < n.trialAt {
		return false
	}
	n.trialInterval = min(2*n.trialInterval, maxTrialInterval)
	n.trialAt = now + n.trialInterval
	return true
}
