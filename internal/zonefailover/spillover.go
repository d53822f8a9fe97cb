package zonefailover

import "time"

// SpilloverLimiter bounds the work that goes beyond the first tier, by token buckets. Each gateway has an even part of
// the rate and the burst, so that all of them together keep the bound without knowing of each other: in any time t no
// more than Spillover*t + Burst units. In addition, what goes into a zone is at most Share of the capacity that the
// zone was seen to have left.
type SpilloverLimiter struct {
	settings Settings
	total    tokenBucket
	zones    []tokenBucket
}

// tokenBucket holds tokens of one unit of work each. It starts empty: a gateway that has just started does not know
// what its previous incarnation spent.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// refill adds the tokens of the time that has passed. It is called before a bucket is read.
func (b *tokenBucket) refill(now time.Duration, rate, burst float64) {
	if !b.started {
		b.started = true
		b.refilledAt = now
	}
	if now > b.refilledAt {
		b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// NewSpilloverLimiter makes a SpilloverLimiter with empty buckets.
func NewSpilloverLimiter(settings Settings) *SpilloverLimiter {
	return &SpilloverLimiter{settings: settings, zones: make([]tokenBucket, len(settings.Tiers))}
}

// gatewayShare is this gateway's part of what all gateways may spill over.
func (l *SpilloverLimiter) gatewayShare() float64 { return 1 / float64(max(1, l.settings.Siblings)) }

// rate is in units a second.
func (l *SpilloverLimiter) rate() float64 { return l.settings.Spillover * l.gatewayShare() }

// burst is in units.
func (l *SpilloverLimiter) burst() float64 { return l.settings.Burst * l.gatewayShare() }

// Refill lets time pass. Spare is, by zone, how many units a second the zone has been seen to do through this gateway
// beyond what it does now.
func (l *SpilloverLimiter) Refill(now time.Duration, spare []float64) {
	l.total.refill(now, l.rate(), l.burst())
	for i := range l.zones {
		l.zones[i].refill(now, l.settings.Share*max(0, spare[i]), l.burst())
	}
}

// Take takes the tokens for units that go into a zone. It reports false, and takes nothing, if there are too few.
func (l *SpilloverLimiter) Take(now time.Duration, zone int, units float64) bool {
	l.total.refill(now, l.rate(), l.burst())
	if units > l.total.tokens {
		return false
	}
	if l.settings.Share > 0 && zone >= 0 && zone < len(l.zones) {
		bucket := &l.zones[zone]
		if units > bucket.tokens {
			return false
		}
		bucket.tokens -= units
	}
	l.total.tokens -= units
	return true
}

// Wait returns after what time so many units may spill over, for the Retry-After of rejected requests. It reports false
// if they never may, as far as is known, because no burst is large enough.
func (l *SpilloverLimiter) Wait(now time.Duration, units float64) (wait time.Duration, ever bool) {
	l.total.refill(now, l.rate(), l.burst())
	if l.rate() <= 0 || units > l.burst() {
		return 0, false
	}
	return time.Duration(max(0, units-l.total.tokens) / l.rate() * float64(time.Second)), true
}

// SpilloverState is the state of one token bucket of a SpilloverLimiter. It is stored in snapshots.
type SpilloverState struct {
	_          struct{}      `cbor:",toarray"`
	Tokens     float64       `json:"Level"`
	RefilledAt time.Duration `json:"At"`
	Started    bool          `json:"Begun"`
}

func (b tokenBucket) snapshot() SpilloverState {
	return SpilloverState{Tokens: b.tokens, RefilledAt: b.refilledAt, Started: b.started}
}

// Snapshot returns the state of the bucket for all zones, followed by those of single zones.
func (l *SpilloverLimiter) Snapshot() []SpilloverState {
	states := []SpilloverState{l.total.snapshot()}
	for _, bucket := range l.zones {
		states = append(states, bucket.snapshot())
	}
	return states
}

// Resume continues from a state. It reports false, and changes nothing, if that is of another number of zones.
func (l *SpilloverLimiter) Resume(from []SpilloverState) bool {
	if len(from) != 1+len(l.zones) {
		return false
	}
	l.total = resumedBucket(from[0])
	for i := range l.zones {
		l.zones[i] = resumedBucket(from[1+i])
	}
	return true
}

func resumedBucket(state SpilloverState) tokenBucket {
	return tokenBucket{tokens: state.Tokens, refilledAt: state.RefilledAt, started: state.Started}
}
