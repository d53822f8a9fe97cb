package zonefailover

import (
	"cmp"
	"time"
)

// Observation is what a gateway knows from its own requests and the endpoint list about a node at one time.
type Observation struct {
	ID   string
	Zone int `json:"Room"`
	// Size is the node's capacity in relation to that of a typical node. 0 counts as 1.
	Size float64
	// Removed means that the node is listed as removed or draining, so that no response is expected of it.
	Removed bool `json:"Gone"`
	// UnansweredFor is how long the oldest attempt in flight to the node has waited for a response. 0 means that no
	// attempt is in flight.
	UnansweredFor time.Duration `json:"Waiting"`
	// UsualLatency is the estimated latency of the node's responses. 0 means unknown.
	UsualLatency time.Duration `json:"Usual"`
	// LastResponse is when the node last sent anything, be it a response or a refused connection. 0 means never.
	LastResponse time.Duration `json:"Heard"`
}

// Constants of the state machine of nodes.
const (
	// A node counts as silent when an attempt has been unanswered, and the node has sent nothing else, for longer than
	// silenceFactor times its usual latency, but at least minSilenceThreshold and at most maxSilenceThreshold. A
	// healthy node pauses now and then for as long as minSilenceThreshold.
	silenceFactor       = 4
	minSilenceThreshold = 120 * time.Millisecond
	maxSilenceThreshold = 400 * time.Millisecond
	// A silent node is unavailable when an attempt has been unanswered for unavailableAfter longer than the silence
	// threshold. A zone is unavailable when most of it has been silent for unavailableAfter.
	unavailableAfter = 250 * time.Millisecond
	// nodeRecoveryTime is how long a node is recovering at least before it is available again.
	nodeRecoveryTime = time.Second
	// Trial requests to an unavailable node go out at intervals that double between these bounds.
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = 3200 * time.Millisecond
)

// node holds the health of a node.
type node struct {
	Observation   // latest observation of the node
	state         State
	since         time.Duration // when the state began
	trialAt       time.Duration // earliest time of the next trial request, while the node is unavailable
	trialInterval time.Duration // time from the last trial request, or from becoming unavailable, to trialAt
}

// observe stores an observation and returns the change of state that it causes, or nil.
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

// nextState returns the state that follows from the last observation. The transitions are:
//
//   - any state to Unavailable: the node is silent, and its oldest attempt has been unanswered for unavailableAfter
//     longer than the silence threshold;
//   - Available to Suspect: it is silent;
//   - Suspect to Available, Unavailable to Recovering: it has responded;
//   - Recovering to Available: nodeRecoveryTime has passed and it is not silent.
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

// silenceThreshold returns the time without a response after which the node counts as silent.
func (n *node) silenceThreshold() time.Duration {
	return min(max(silenceFactor*n.UsualLatency, minSilenceThreshold), maxSilenceThreshold)
}

// silent reports whether an attempt has been unanswered, and the node has sent nothing else, for longer than the
// silence threshold. A removed node is never silent.
func (n *node) silent(now time.Duration) bool {
	threshold := n.silenceThreshold()
	return !n.Removed && n.UnansweredFor > threshold && now-n.LastResponse > threshold
}

// weight returns the node's weight in the sums over a zone: its size, or 1 if that is unknown.
func (n *node) weight() float64 { return cmp.Or(n.Size, 1) }

// takeTrial reports whether a trial request may go to an unavailable node now. If so, it schedules the next one.
func (n *node) takeTrial(now time.Duration) bool {
	if now < n.trialAt {
		return false
	}
	n.trialInterval = min(2*n.trialInterval, maxTrialInterval)
	n.trialAt = now + n.trialInterval
	return true
}
