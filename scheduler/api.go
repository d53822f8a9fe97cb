package scheduler

import (
	"errors"
	"fmt"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// Settings describe a deployment to one scheduler. They hold facts and rules, no tuned values: those are
// all in decide.go. Durations and times are on the caller's clock, which only needs to advance.
type Settings struct {
	Siblings       int           // schedulers in the deployment, this one included
	Zone           int           // zone of this scheduler
	Zones          []string      // names of the zones
	Tick           time.Duration // shortest time between two rounds of events
	Classes        []Class
	Plans          []Plan
	Rules          Rules
	Allowed        Allowed
	Sizes          Sizes
	PollMembership bool                  `json:"MustAsk"`                     // membership comes only when asked for
	LocalAgent     bool                  `cbor:"Agent,omitzero" json:"Agent"` // else an agent on this machine holds it and has to be watched
	LoadReports    LoadReportSource      `json:"ReportsIn"`                   // where load reports are found
	RetryBudget    retrybudget.Settings  `cbor:"Retry,omitzero" json:"Retry"` // of the budgets that further attempts have to earn
	ZoneFailover   zonefailover.Settings `cbor:"Rooms,omitzero" json:"Rooms"` // which zones new work prefers, and how much may go elsewhere
	ProbePrice     float64               // points of the result that one probe a request costs
	WastePrice     float64               // points of the result for wasted work, as much as was asked for
}

// check tells why settings cannot be used.
func (set Settings) check() error {
	switch {
	case len(set.Classes) == 0:
		return errors.New("decide: settings name no class")
	case set.Siblings < 1:
		return errors.New("decide: settings name no scheduler")
	case set.Sizes.MeanUnits < 0 || set.Sizes.MaxUnits < 0 || set.Rules.SlowStartAllowance < 0:
		return errors.New("decide: a size is negative")
	}
	for _, c := range set.Classes {
		if c.Deadline <= 0 || c.LatencyObjective <= 0 {
			return fmt.Errorf("decide: class %q has no time", c.Name)
		}
	}
	if err := set.ZoneFailover.Check(); err != nil {
		return err
	}
	for _, p := range set.Plans {
		if p.Rate < 0 || p.Reserve < 0 || p.Limit < 0 || p.Burst < 0 || p.Weight < 0 {
			return fmt.Errorf("decide: plan %q has a negative rate", p.Name)
		}
	}
	return nil
}

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration `json:"Aim"`        // an answer within it earns the full worth
	ObjectiveStretch float64       `json:"AimStretch"` // the aim grows by this multiple of the request's own work
	Deadline         time.Duration // the client's patience over all its tries
	PriorityWeight   float64       `json:"Worth"`
	LateWeightShare  float64       `json:"LateShare"` // share of the worth that an answer after the aim earns
	Idempotency      Idempotency   `json:"Repeats"`
	DedupScope       DedupScope    `json:"RepeatGroup"` // for Keyed: the nodes that discard a repeat
	DedupWindow      time.Duration `json:"RepeatFor"`   // for Keyed: how long they discard it
	Ordered          bool          // requests that share a key run one at a time, in order
	Streamed         bool
	Writes           bool // it changes data
}

// Idempotency tells whether a request may run more than once.
type Idempotency int

// The kinds of Repeats.
const (
	Idempotent        Idempotency = iota // any number of times
	IdempotentWithKey                    // repeats are discarded by a group of nodes, for a time
	NonIdempotent                        // at most once
)

// DedupScope is a set of nodes around the one that a keyed request was first sent to.
type DedupScope int

// The kinds of Group.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeShard
)

// Plan is what a volume is entitled to, over all schedulers and nodes. Rates are in units a second.
type Plan struct {
	Name    string
	Rate    float64 // what such a volume is sized for
	Reserve float64 // units that earn their full worth
	Limit   float64 // rate at which the store of the limit fills; 0 is no limit
	Burst   float64 // units that the store holds at most
	Slack   float64 // units that the store may fall below zero
	Weight  float64 // share of what a node can do beyond the reserves
	Price   float64 // factor on the worth
}

// Rules are the figures of the rules that a deployment states.
type Rules struct {
	DrainGrace            time.Duration
	SlowStartShare        float64       `json:"ColdFrom"`     // least share of its capacity that a node starts with
	SlowStartDuration     time.Duration `json:"WarmWithin"`   // longest time until a started node is warm
	SlowStartWindow       time.Duration `json:"ColdWindow"`   // a cold node is judged over windows of this length
	SlowStartAllowance    float64       `json:"ColdUnits"`    // units within such a window that a cold node always bears from all schedulers
	SlowStartMultiple     float64       `json:"ColdMultiple"` // a cold node bears this multiple of its capacity at the time over such a window
	OrderedKeyQuietPeriod time.Duration `json:"TurnGap"`      // rest of an ordered key after an attempt that may still run
	RetryBudgetWindow     time.Duration `json:"BudgetWindow"` // 0: no budget of further attempts
	RetryBudgetBase       float64       `json:"BudgetExtra"`
	RetryBudgetShare      float64       `json:"BudgetShare"`
}

// Allowed tells what a scheduler may do.
type Allowed struct {
	Probes         bool
	Cancel         bool
	HedgedRequests bool `json:"SecondCopies"`
	RetryAfter     bool
	MaxRetryAfter  time.Duration // longest advice that a client heeds
	MaxAttempts    int           // 0: no limit
	ConnectTimeout time.Duration `json:"ConnectWithin"` // a connection that takes longer has failed; 0: no limit
	IdleTimeout    time.Duration `json:"IdleWithin"`    // an idle connection is closed by its node after this at the latest; 0: never
}

// Sizes tell how requests are measured.
type Sizes struct {
	MeanUnits   float64
	MaxUnits    float64 `json:"MostUnits"`
	ShareWeight float64 `json:"ShareWorth"` // share of the worth that units beyond the reserve earn within the volume's share
	SpareWeight float64 `json:"SpareWorth"` // and beyond both
}

// LoadReportSource tells where load reports are found.
type LoadReportSource int

// The kinds of Reports.
const (
	NoLoadReports LoadReportSource = iota
	LoadReportsInResponses
	LoadReportsInProbes
)

// AnyShard is the shard of a request that any node may take: it writes a new object.
const AnyShard = -1

// Request is one try of a client.
type Request struct {
	ID            string
	Class         int
	Plan          int
	Volume        string
	Key           string // the data read or written; may be empty
	Units         float64
	Shard         int           // shard that holds the data, or AnyShard
	ClientTimeout time.Duration `json:"Patience"` // time until the client gives this try up
	Hosts         int           // schedulers through which the volume's requests come

	RetryPolicy RetryPolicy `cbor:"Bound,omitzero" json:"Bound"` // what narrows the repeats that the class allows
	Operation   string      `cbor:",omitempty"`                  // what its description is called by; empty: none, or nobody looked
}

// Result is how an attempt ended.
type Result int

// The kinds of Result.
const (
	Served          Result = iota
	Errored                // the node answered with an error; it may have run
	Overloaded             // turned away unseen; it never ran
	TimedOut               // no answer in time; it may have run, or still run
	ConnectFailed          // no connection; it never ran
	ConnectionReset        // the connection broke; it may have run
	Canceled               // withdrawn; it may have run, or still run
	NotSent                // not sent; it never ran
)

// Outcome reports the end of one attempt.
type Outcome struct {
	ID         string
	Attempt    int // 0 for the first
	Node       string
	Result     Result
	Latency    time.Duration
	Concluded  bool    `json:"Done"`   // the request is concluded, by this outcome or earlier
	VolumeUse  float64 `json:"Use"`    // units a second of the volume through all schedulers, as a share of Plan.Rate; below 0 if unknown
	OtherUnits float64 `json:"Others"` // units of the volume that the node served through other schedulers since its last answer here
	Load       *Load   // nil where no report came along
}

// Load is a node's report. Values that it does not tell are below zero.
type Load struct {
	InFlight float64 // requests held
	Queued   float64 // requests waiting
	Busy     float64 // share of the CPU
}

// ProbeResult reports the end of a probe.
type ProbeResult struct {
	Node    string
	Served  bool
	Latency time.Duration
	Load    *Load
}

// Phase is the state of a listed node.
type Phase int

// The kinds of Phase.
const (
	Up Phase = iota
	Draining
	Removed
)

// Node is an entry of the list.
type Node struct {
	ID        string
	Zone      int
	Shard     int
	Phase     Phase
	Size      float64
	StartedAt time.Duration // 0: long ago
}

// MembershipKind tells what a Membership holds.
type MembershipKind int

// The kinds of MembershipKind.
const (
	CachedList  MembershipKind = iota // the whole list as last held, maybe old
	FullList                          // the whole list: a node that is absent is gone
	DeltaList                         // changed entries only
	WatchFailed                       // a Watch failed, or the watch broke; no entries
)

// Membership is news of the list of nodes.
type Membership struct {
	Kind  MembershipKind
	Nodes []Node
}

// Actions is what a Scheduler calls. Calls come only from within the Scheduler's own methods, in the order
// in which they are to be carried out.
type Actions interface {
	// Send starts an attempt; a timeout of 0 lasts until the client gives up.
	Send(id, node string, timeout time.Duration)
	// Cancel withdraws an attempt. Its outcome still arrives.
	Cancel(id string, attempt int)
	// Reject ends a request that may safely come again; retryAfter 0 gives no advice.
	Reject(id string, retryAfter time.Duration)
	// Fail ends a request and promises nothing.
	Fail(id string)
	// Probe asks a node for its load.
	Probe(node string)
	// SetTimer calls for Timer(now, key) after the given time.
	SetTimer(after time.Duration, key uint64)
	// Watch subscribes to changes of the list.
	Watch()
	// Log adds a line to the operators' log.
	Log(text string)
}
