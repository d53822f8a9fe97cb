package scheduler

import (
	"errors"
	"fmt"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// Settings describe a deployment to one Scheduler. They hold facts and rules. Tuned values are constants next to the
// code that uses them. Durations and times are on the caller's clock, which only has to move forward.
//
// Settings are stored with captures as maps, under the names of the fields or of their tags.
type Settings struct {
	Siblings int           // schedulers in the deployment, including this one
	Zone     int           // zone of this scheduler
	Zones    []string      // names of the zones
	Tick     time.Duration // shortest time between two rounds of events
	Classes  []Class
	Plans    []Plan
	Rules    Rules
	Allowed  Allowed
	Sizes    Sizes

	// PollMembership says that the endpoint list is only sent to those who ask for it.
	PollMembership bool `json:"MustAsk"`
	// LocalAgent says that an agent on this machine has the endpoint list and has to be watched.
	LocalAgent bool `cbor:"Agent,omitzero" json:"Agent"`
	// LoadReports says where the load reports of nodes are found.
	LoadReports LoadReportSource `json:"ReportsIn"`
	// RetryBudget holds the budgets that retries have to earn; the zero value is no budget.
	RetryBudget retrybudget.Settings `cbor:"Retry,omitzero" json:"Retry"`
	// ZoneFailover says which zones new objects prefer and how much may spill over to others; the zero value
	// treats all zones alike.
	ZoneFailover zonefailover.Settings `cbor:"Rooms,omitzero" json:"Rooms"`

	ProbePrice float64 // points of the result that one probe a request costs
	WastePrice float64 // points of the result for wasted work, as much of it as was requested
}

// ErrSettings is the error of [New] and [Resume] for settings that cannot be used.
var ErrSettings = errors.New("scheduler: unusable settings")

// check says why the settings cannot be used; nil if they can.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("%w: they name no class", ErrSettings)
	case s.Siblings < 1:
		return fmt.Errorf("%w: they count %d schedulers", ErrSettings, s.Siblings)
	case s.Sizes.MeanUnits < 0 || s.Sizes.MaxUnits < 0:
		return fmt.Errorf("%w: a request size is negative", ErrSettings)
	case s.Rules.SlowStartAllowance < 0:
		return fmt.Errorf("%w: the slow-start allowance is negative", ErrSettings)
	}
	for _, class := range s.Classes {
		if class.Deadline <= 0 || class.LatencyObjective <= 0 {
			return fmt.Errorf("%w: class %q has no deadline or no latency objective", ErrSettings, class.Name)
		}
	}
	if err := s.ZoneFailover.Check(); err != nil {
		return fmt.Errorf("%w: zone failover: %w", ErrSettings, err)
	}
	for _, plan := range s.Plans {
		if plan.Rate < 0 || plan.Reserve < 0 || plan.Limit < 0 || plan.Burst < 0 || plan.Weight < 0 {
			return fmt.Errorf("%w: plan %q has a negative rate", ErrSettings, plan.Name)
		}
	}
	return nil
}

// Class is a kind of request.
type Class struct {
	Name string
	// LatencyObjective is the time within which an answer earns the full priority weight.
	LatencyObjective time.Duration `json:"Aim"`
	// ObjectiveStretch is the multiple of the request's own service time by which the objective grows.
	ObjectiveStretch float64 `json:"AimStretch"`
	// Deadline is the time after which the client gives up, counted over all its tries.
	Deadline       time.Duration
	PriorityWeight float64 `json:"Worth"`
	// LateWeightShare is the share of the weight that an answer after the objective earns.
	LateWeightShare float64     `json:"LateShare"`
	Idempotency     Idempotency `json:"Repeats"`
	// DedupScope and DedupWindow say, for IdempotentWithKey, which nodes discard a repeated request, and for how
	// long after its first attempt.
	DedupScope  DedupScope    `json:"RepeatGroup"`
	DedupWindow time.Duration `json:"RepeatFor"`
	Ordered     bool          // requests that share a key run one at a time, in the order of their arrival
	Streamed    bool          // the response is a stream
	Writes      bool          // the request changes data
}

// Idempotency says whether a request may run more than once.
type Idempotency int

// The kinds of Idempotency, from the most permissive to the strictest.
const (
	Idempotent        Idempotency = iota // any number of times
	IdempotentWithKey                    // a scope of nodes discards repeated requests for some time
	NonIdempotent                        // at most once
)

// DedupScope is the set of nodes, around the one that a keyed request was first sent to, that discard repeats.
type DedupScope int

// The scopes, from the widest to the narrowest.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeShard
)

// Plan is what a volume is entitled to, over all schedulers and nodes. Rates are in units a second.
type Plan struct {
	Name    string
	Rate    float64 // rate that such a volume is sized for
	Reserve float64 // rate that earns its full weight
	Limit   float64 // rate at which the token bucket of the limit refills; 0 is no limit
	Burst   float64 // tokens that the bucket holds at most
	Slack   float64 // tokens by which the bucket may go below zero
	Weight  float64 // share of the nodes' capacity beyond the reserves
	Price   float64 // factor on the priority weight
}

// Rules are the figures of the rules that a deployment states.
type Rules struct {
	DrainGrace time.Duration
	// SlowStartShare is the smallest share of its capacity that a node starts with.
	SlowStartShare float64 `json:"ColdFrom"`
	// SlowStartDuration is the longest time until a started node is warm.
	SlowStartDuration time.Duration `json:"WarmWithin"`
	// SlowStartWindow is the time over which the load of a node in slow start is counted.
	SlowStartWindow time.Duration `json:"ColdWindow"`
	// SlowStartAllowance is the number of units in such a window that a node in slow start always bears, from
	// all schedulers together.
	SlowStartAllowance float64 `json:"ColdUnits"`
	// SlowStartMultiple is the multiple of its current capacity that a node in slow start bears over a window.
	SlowStartMultiple float64 `json:"ColdMultiple"`
	// OrderedKeyQuietPeriod is the time that an ordered key pauses after an attempt that may still run.
	OrderedKeyQuietPeriod time.Duration `json:"TurnGap"`

	// RetryBudgetWindow is the time over which requests and retries are counted; 0 is no budget. Retries may be
	// RetryBudgetBase plus RetryBudgetShare of the requests.
	RetryBudgetWindow time.Duration `json:"BudgetWindow"`
	RetryBudgetBase   float64       `json:"BudgetExtra"`
	RetryBudgetShare  float64       `json:"BudgetShare"`
}

// Allowed says what a Scheduler may do.
type Allowed struct {
	Probes         bool
	Cancel         bool
	HedgedRequests bool `json:"SecondCopies"`
	RetryAfter     bool
	MaxRetryAfter  time.Duration // longest Retry-After that clients respect
	MaxAttempts    int           // attempts of a request; 0 is no limit
	// ConnectTimeout is the time after which a connection counts as failed; 0 is no limit.
	ConnectTimeout time.Duration `json:"ConnectWithin"`
	// IdleTimeout is the time after which a node closes an idle connection at the latest; 0 is never.
	IdleTimeout time.Duration `json:"IdleWithin"`
}

// Sizes say how requests are measured.
type Sizes struct {
	MeanUnits float64
	MaxUnits  float64 `json:"MostUnits"`
	// ShareWeight is the share of the weight that units beyond the reserve earn within the volume's share.
	ShareWeight float64 `json:"ShareWorth"`
	// SpareWeight is the share of the weight that units beyond both earn.
	SpareWeight float64 `json:"SpareWorth"`
}

// LoadReportSource says where load reports are found.
type LoadReportSource int

// The sources of load reports.
const (
	NoLoadReports LoadReportSource = iota
	LoadReportsInResponses
	LoadReportsInProbes
)
