package zonefailover

import "time"

// SpilloverLimiter limits the work that goes beyond the first tier, by token buckets. Each gateway has an equal share
// of the rate and the burst, so that all gateways together stay within the bound without communication: in any period
// of t seconds, no more than Spillover*t + Burst units spill over. If Share is set, the work that spills over into one
// zone is also limited to this share of the zone's spare capacity, as this gateway has observed it.
type SpilloverLimiter struct {
	settings Settings
	total    tokenBucket   // limits the work that spills over into all zones together
	zones    []tokenBucket // limit the work that spills over into each zone, if settings.Share is set
}

// tokenBucket holds tokens of one unit of work each. It starts empty, because a gateway that has just started does not
// know what its previous incarnation spent.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// refill adds the tokens for the time since the last refill, at a rate in tokens a second and up to the burst.
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

// gatewayShare returns this gateway's share of the rate and burst of all gateways, as a fraction.
func (l *SpilloverLimiter) gatewayShare() float64 { return 1 / float64(max(1, l.settings.Siblings)) }

// rate returns the units a second that this gateway may spill over.
func (l *SpilloverLimiter) rate() float64 { return l.settings.Spillover * l.gatewayShare() }

// burst returns the units that this gateway may spill over at once.
func (l *SpilloverLimiter) burst() float64 { return l.settings.Burst * l.gatewayShare() }

// Refill refills all buckets up to now. The spare rate of a zone is how many units a second the zone has been seen to
// do through this gateway beyond what it does now.
func (l *SpilloverLimiter) Refill(now time.Duration, spareRates []float64) {
	l.total.refill(now, l.rate(), l.burst())
	for i := range l.zones {
		l.zones[i].refill(now, l.settings.Share*max(0, spareRates[i]), l.burst())
	}
}

// Take takes the tokens for units of work that go to a zone. It reports false and takes nothing if there are too few.
// The bucket of the zone is refilled by Refill alone, as Take does not know the zone's spare rate.
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

// Wait returns the time until the bucket for all zones has the tokens for units of work, for the Retry-After of
// rejected requests. It takes no account of the buckets of single zones. It reports false if these units can never
// spill over with these settings, because the rate is 0 or the burst is too small.
func (l *SpilloverLimiter) Wait(now time.Duration, units float64) (wait time.Duration, ever bool) {
	l.total.refill(now, l.rate(), l.burst())
	if l.rate() <= 0 || units > l.burst() {
		return 0, false
	}
	return time.Duration(max(0, units-l.total.tokens) / l.rate() * float64(time.Second)), true
}

// SpilloverState is the state of one token bucket of a SpilloverLimiter, in the form that snapshots store.
type SpilloverState struct {
	_          struct{}      `cbor:",toarray"`
	Tokens     float64       `json:"Level"`
	RefilledAt time.Duration `json:"At"`
	Started    bool          `json:"Begun"`
}

func (b tokenBucket) snapshot() SpilloverState {
	return SpilloverState{Tokens: b.tokens, RefilledAt: b.refilledAt, Started: b.started}
}

// Snapshot returns the state of the bucket for all zones, followed by the states of the buckets of single zones.
func (l *SpilloverLimiter) Snapshot() []SpilloverState {
	states := []SpilloverState{l.total.snapshot()}
	for _, bucket := range l.zones {
		states = append(states, bucket.snapshot())
	}
	return states
}

// Resume continues from a stored state. It reports false and changes nothing if the state has another number of zones.
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
