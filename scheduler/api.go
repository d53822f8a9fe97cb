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
	Siblings   int           // schedulers in the deployment, this one included
	Zone       int           // zone of this scheduler
	Zones      []string      // names of the zones
	Tick       time.Duration // shortest time between two rounds of events
	Classes    []Class
	Plans      []Plan
	Rules      Rules
	Allowed    Allowed
	Sizes      Sizes
	MustAsk    bool                  // membership comes only when asked for
	Agent      bool                  `cbor:",omitzero"` // else an agent on this machine holds it and has to be watched
	ReportsIn  Reports               // where load reports are found
	Retry      retrybudget.Settings  `cbor:",omitzero"` // of the budgets that further attempts have to earn
	Rooms      zonefailover.Settings `cbor:",omitzero"` // which zones new work prefers, and how much may go elsewhere
	ProbePrice float64               // points of the result that one probe a request costs
	WastePrice float64               // points of the result for wasted work, as much as was asked for
}

// check tells why settings cannot be used.
func (set Settings) check() error {
	switch {
	case len(set.Classes) == 0:
		return errors.New("decide: settings name no class")
	case set.Siblings < 1:
		return errors.New("decide: settings name no scheduler")
	case set.Sizes.MeanUnits < 0 || set.Sizes.MostUnits < 0 || set.Rules.ColdUnits < 0:
		return errors.New("decide: a size is negative")
	}
	for _, c := range set.Classes {
		if c.Deadline <= 0 || c.Aim <= 0 {
			return fmt.Errorf("decide: class %q has no time", c.Name)
		}
	}
	if err := set.Rooms.Check(); err != nil {
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
	Name        string
	Aim         time.Duration // an answer within it earns the full worth
	AimStretch  float64       // the aim grows by this multiple of the request's own work
	Deadline    time.Duration // the client's patience over all its tries
	Worth       float64
	LateShare   float64 // share of the worth that an answer after the aim earns
	Repeats     Repeats
	RepeatGroup Group         // for Keyed: the nodes that discard a repeat
	RepeatFor   time.Duration // for Keyed: how long they discard it
	Ordered     bool          // requests that share a key run one at a time, in order
	Streamed    bool
	Writes      bool // it changes data
}

// Repeats tells whether a request may run more than once.
type Repeats int

// The kinds of Repeats.
const (
	Safe   Repeats = iota // any number of times
	Keyed                 // repeats are discarded by a group of nodes, for a time
	Unsafe                // at most once
)

// Group is a set of nodes around the one that a keyed request was first sent to.
type Group int

// The kinds of Group.
const (
	GroupAll Group = iota
	GroupZone
	GroupShard
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
	DrainGrace   time.Duration
	ColdFrom     float64       // least share of its capacity that a node starts with
	WarmWithin   time.Duration // longest time until a started node is warm
	ColdWindow   time.Duration // a cold node is judged over windows of this length
	ColdUnits    float64       // units within such a window that a cold node always bears from all schedulers
	ColdMultiple float64       // a cold node bears this multiple of its capacity at the time over such a window
	TurnGap      time.Duration // rest of an ordered key after an attempt that may still run
	BudgetWindow time.Duration // 0: no budget of further attempts
	BudgetExtra  float64
	BudgetShare  float64
}

// Allowed tells what a scheduler may do.
type Allowed struct {
	Probes        bool
	Cancel        bool
	SecondCopies  bool
	RetryAfter    bool
	MaxRetryAfter time.Duration // longest advice that a client heeds
	MaxAttempts   int           // 0: no limit
	ConnectWithin time.Duration // a connection that takes longer has failed; 0: no limit
	IdleWithin    time.Duration // an idle connection is closed by its node after this at the latest; 0: never
}

// Sizes tell how requests are measured.
type Sizes struct {
	MeanUnits  float64
	MostUnits  float64
	ShareWorth float64 // share of the worth that units beyond the reserve earn within the volume's share
	SpareWorth float64 // and beyond both
}

// Reports tells where load reports are found.
type Reports int

// The kinds of Reports.
const (
	NoReports Reports = iota
	InAnswers
	InProbes
)

// AnyShard is the shard of a request that any node may take: it writes a new object.
const AnyShard = -1

// Request is one try of a client.
type Request struct {
	ID       string
	Class    int
	Plan     int
	Volume   string
	Key      string // the data read or written; may be empty
	Units    float64
	Shard    int           // shard that holds the data, or AnyShard
	Patience time.Duration // time until the client gives this try up
	Hosts    int           // schedulers through which the volume's requests come

	Bound     Bound  `cbor:",omitzero"`  // what narrows the repeats that the class allows
	Operation string `cbor:",omitempty"` // what its description is called by; empty: none, or nobody looked
}

// Result is how an attempt ended.
type Result int

// The kinds of Result.
const (
	Served        Result = iota
	Errored              // the node answered with an error; it may have run
	Full                 // turned away unseen; it never ran
	TimedOut             // no answer in time; it may have run, or still run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Canceled             // withdrawn; it may have run, or still run
	Moot                 // not sent; it never ran
)

// Outcome reports the end of one attempt.
type Outcome struct {
	ID      string
	Attempt int // 0 for the first
	Node    string
	Result  Result
	Latency time.Duration
	Done    bool    // the request is concluded, by this outcome or earlier
	Use     float64 // units a second of the volume through all schedulers, as a share of Plan.Rate; below 0 if unknown
	Others  float64 // units of the volume that the node served through other schedulers since its last answer here
	Load    *Load   // nil where no report came along
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

// ListKind tells what a Membership holds.
type ListKind int

// The kinds of ListKind.
const (
	Remembered ListKind = iota // the whole list as last held, maybe old
	Whole                      // the whole list: a node that is absent is gone
	Changes                    // changed entries only
	Refused                    // a Watch failed, or the watch broke; no entries
)

// Membership is news of the list of nodes.
type Membership struct {
	Kind  ListKind
	Nodes []Node
}

// Actions is what a Scheduler calls. Calls come only from within the Scheduler's own methods, in the order
// in which they are to be carried out.
type Actions interface {
	// Send starts an attempt; a timeout of 0 lasts until the client gives up.
	Send(id, node string, timeout time.Duration)
	// Cancel withdraws an attempt. Its outcome still arrives.
	Cancel(id string, attempt int)
	// Refuse ends a request that may safely come again; retryAfter 0 gives no advice.
	Refuse(id string, retryAfter time.Duration)
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
