package scheduler

import (
	"errors"
	"fmt"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// Settings describe a deployment to one Scheduler. They contain facts about the deployment and its rules; parameters
// of the algorithms are constants next to the code that uses them. Times are on the caller's clock, which only has to
// move forward.
//
// Settings are stored with captures as maps, keyed by the names of the fields or by the names in their tags.
type Settings struct {
	Siblings int           // number of schedulers in the deployment, including this one
	Zone     int           // zone of this scheduler
	Zones    []string      // names of the zones
	Tick     time.Duration // shortest time between two rounds of events
	Classes  []Class
	Plans    []Plan
	Rules    Rules
	Allowed  Allowed
	Sizes    Sizes

	// PollMembership says that the endpoint list is sent only on request, so that it has to be watched.
	PollMembership bool `json:"MustAsk"`
	// LocalAgent says that an agent on this machine provides the endpoint list and has to be watched.
	LocalAgent bool `cbor:"Agent,omitzero" json:"Agent"`
	// LoadReports says where nodes put their load reports.
	LoadReports LoadReportSource `json:"ReportsIn"`
	// RetryBudget configures the budgets from which retries take tokens; the zero value does not limit retries.
	RetryBudget retrybudget.Settings `cbor:"Retry,omitzero" json:"Retry"`
	// ZoneFailover says which zones new objects prefer and how much may spill over to others; the zero value
	// treats all zones alike.
	ZoneFailover zonefailover.Settings `cbor:"Rooms,omitzero" json:"Rooms"`

	ProbePrice float64 // points deducted from the score of a run for one probe per request
	WastePrice float64 // points deducted from the score of a run if as much work is wasted as was requested
}

// ErrSettings is returned by [New] and [Resume] for settings that cannot be used.
var ErrSettings = errors.New("scheduler: unusable settings")

// check returns an ErrSettings that says why the settings cannot be used, or nil if they can.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("%w: no class is defined", ErrSettings)
	case s.Siblings < 1:
		return fmt.Errorf("%w: number of schedulers is %d, want at least 1", ErrSettings, s.Siblings)
	case s.Sizes.MeanUnits < 0 || s.Sizes.MaxUnits < 0:
		return fmt.Errorf("%w: request size is negative: mean %v units, maximum %v units",
			ErrSettings, s.Sizes.MeanUnits, s.Sizes.MaxUnits)
	case s.Rules.SlowStartAllowance < 0:
		return fmt.Errorf("%w: slow-start allowance of %v units is negative", ErrSettings, s.Rules.SlowStartAllowance)
	}
	for _, class := range s.Classes {
		if class.Deadline <= 0 || class.LatencyObjective <= 0 {
			return fmt.Errorf("%w: class %q: deadline %v and latency objective %v must be positive",
				ErrSettings, class.Name, class.Deadline, class.LatencyObjective)
		}
	}
	if err := s.ZoneFailover.Check(); err != nil {
		return fmt.Errorf("%w: zone failover: %w", ErrSettings, err)
	}
	for _, plan := range s.Plans {
		if plan.Rate < 0 || plan.Reserve < 0 || plan.Limit < 0 || plan.Burst < 0 || plan.Weight < 0 {
			return fmt.Errorf("%w: plan %q: rate %v, reserve %v, limit %v, burst %v and weight %v must not be negative",
				ErrSettings, plan.Name, plan.Rate, plan.Reserve, plan.Limit, plan.Burst, plan.Weight)
		}
	}
	return nil
}

// Class describes requests with the same latency objective, priority and idempotency.
type Class struct {
	Name string
	// LatencyObjective is the time within which an answer earns the full priority weight.
	LatencyObjective time.Duration `json:"Aim"`
	// ObjectiveStretch is the multiple of a request's service time that is added to the latency objective.
	ObjectiveStretch float64 `json:"AimStretch"`
	// Deadline is the time after which the client gives up, counted from its first try over all its tries.
	Deadline       time.Duration
	PriorityWeight float64 `json:"Worth"`
	// LateWeightShare is the share of the priority weight that an answer after the objective earns.
	LateWeightShare float64     `json:"LateShare"`
	Idempotency     Idempotency `json:"Repeats"`
	// DedupScope and DedupWindow apply to IdempotentWithKey: they say which nodes discard a repeated request, and
	// for how long after its first attempt.
	DedupScope  DedupScope    `json:"RepeatGroup"`
	DedupWindow time.Duration `json:"RepeatFor"`
	Ordered     bool          // requests that share a key run one at a time, in the order of their arrival
	Streamed    bool          // the response is a stream
	Writes      bool          // the request changes data
}

// Idempotency says whether a request may run more than once.
type Idempotency int

// The values of Idempotency, from the most permissive to the strictest.
const (
	Idempotent        Idempotency = iota // the request may run any number of times
	IdempotentWithKey                    // the nodes of a DedupScope discard repeated requests for a limited time
	NonIdempotent                        // the request may run at most once
)

// DedupScope says which nodes discard a repeated request that has a key, relative to the node that the request was
// first sent to.
type DedupScope int

// The values of DedupScope, from the widest to the narrowest.
const (
	ScopeAll   DedupScope = iota // all nodes
	ScopeZone                    // the nodes of the same zone
	ScopeShard                   // the nodes of the same shard
)

// Plan says what a volume is entitled to, over all schedulers and nodes. Rates are in units a second.
type Plan struct {
	Name    string
	Rate    float64 // nominal rate; Outcome.VolumeUse is a share of it
	Reserve float64 // rate up to which requests earn their full weight
	Limit   float64 // rate at which the token bucket of the limit refills; 0 means no limit
	Burst   float64 // largest number of tokens in the bucket
	Slack   float64 // number of tokens by which the bucket may go below zero
	Weight  float64 // weight of the volume in sharing the nodes' capacity beyond the reserves
	Price   float64 // factor on the priority weight
}

// Rules are the limits that a deployment sets for its schedulers.
type Rules struct {
	// DrainGrace is the grace period of a drain. The Scheduler itself does not use it.
	DrainGrace time.Duration
	// SlowStartShare is the smallest share of its capacity that a node has when it starts.
	SlowStartShare float64 `json:"ColdFrom"`
	// SlowStartDuration is the longest time until a node that has started is warm.
	SlowStartDuration time.Duration `json:"WarmWithin"`
	// SlowStartWindow is the time over which the units sent to a node in slow start are counted.
	SlowStartWindow time.Duration `json:"ColdWindow"`
	// SlowStartAllowance is the number of units that a node in slow start can always take within one
	// SlowStartWindow, from all schedulers together.
	SlowStartAllowance float64 `json:"ColdUnits"`
	// SlowStartMultiple is the load that a node in slow start can take over a SlowStartWindow, as a multiple of
	// its current capacity.
	SlowStartMultiple float64 `json:"ColdMultiple"`
	// OrderedKeyQuietPeriod is the time for which no other request of an ordered key is sent after an attempt ended
	// without an answer, because that attempt may still run.
	OrderedKeyQuietPeriod time.Duration `json:"TurnGap"`

	// RetryBudgetWindow is the time over which requests and retries are counted; 0 means no budget. Within it,
	// up to RetryBudgetBase retries plus RetryBudgetShare retries per request are allowed.
	RetryBudgetWindow time.Duration `json:"BudgetWindow"`
	RetryBudgetBase   float64       `json:"BudgetExtra"`
	RetryBudgetShare  float64       `json:"BudgetShare"`
}

// Allowed says what a Scheduler is allowed to do.
type Allowed struct {
	Probes         bool
	Cancel         bool
	HedgedRequests bool `json:"SecondCopies"`
	RetryAfter     bool
	MaxRetryAfter  time.Duration // longest Retry-After that clients respect
	MaxAttempts    int           // largest number of attempts of a request; 0 means no limit
	// ConnectTimeout is the time after which an attempt to connect counts as failed; 0 means no limit.
	ConnectTimeout time.Duration `json:"ConnectWithin"`
	// IdleTimeout is the longest time after which a node closes an idle connection; 0 means never.
	IdleTimeout time.Duration `json:"IdleWithin"`
}

// Sizes describe the sizes of requests, and what units beyond the reserve of a volume earn.
type Sizes struct {
	MeanUnits float64 // mean size of a request, in units
	MaxUnits  float64 `json:"MostUnits"` // size of the largest request, in units
	// ShareWeight is the share of the priority weight that units beyond the reserve but within the volume's share
	// of the capacity earn.
	ShareWeight float64 `json:"ShareWorth"`
	// SpareWeight is the share of the priority weight that units beyond both the reserve and the share earn.
	SpareWeight float64 `json:"SpareWorth"`
}

// LoadReportSource says where nodes put their load reports.
type LoadReportSource int

// The values of LoadReportSource.
const (
	NoLoadReports LoadReportSource = iota
	LoadReportsInResponses
	LoadReportsInProbes
)
