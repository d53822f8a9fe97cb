package scheduler

import (
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// SnapshotVersion is the version of [Snapshot] that this program writes and resumes from. Snapshot and most
// types that it contains, also those in other files and packages, are marked toarray and stored as arrays without field
// names. Any change to their fields or to the order of the fields needs a new version.
const SnapshotVersion = 4

// Snapshot is the whole state of a Scheduler as plain data. A Scheduler that is resumed from it makes the same
// decisions as the original Scheduler would have made. Nodes, volumes and requests are referred to by their indexes in
// Nodes, Volumes and Requests; -1 means none.
type Snapshot struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Random  []byte // state of the random number generator
	Now     time.Duration
	Started bool `json:"Alive"`

	Nodes       []SnapshotNode
	Listed      int // number of listed nodes, which come first in Nodes; only requests refer to the others
	Volumes     []SnapshotVolume
	Requests    []SnapshotRequest    // in the order of their arrival
	Unassigned  []int                `json:"Homeless"`
	OrderedKeys []SnapshotOrderedKey `json:"Turns"`
	Rejected    []SnapshotRejected   `json:"GivenUp"`
	Sequence    uint64

	ClassWork           []float64 `json:"Work"`
	DisconnectShare     []float64 `json:"Leaving"`
	DisconnectAfter     []float64 `json:"Patience"`
	ServiceTimePerUnit  float64   `json:"UnitTime"`
	QueueTimePerRequest float64   `json:"PerQueued"`
	FleetQueue          float64   `json:"Elsewhere"`
	MinLatencyMedian    float64   `json:"Least"`

	ArrivedAt    []time.Duration `json:"TakenAt"`
	RetriedAt    []time.Duration `json:"ExtraAt"`
	NextWatchAt  time.Duration   `json:"AskAgain"`
	WatchBackoff time.Duration   `json:"AskPause"`
	LoggedAt     time.Duration
	SweepAt      time.Duration

	Restrictions        []Restriction                 `json:"Cautions"`
	OverflowRestriction RestrictionLevel              `json:"Careful"`
	RetryBudget         []retrybudget.Budget          `json:"Budget"`
	ZoneHealth          zonefailover.TrackerState     `json:"View"`
	Spillover           []zonefailover.SpilloverState `json:"Spill"`

	// Restored contains the nodes and volumes restored from the previous incarnation that were not listed or used yet.
	Restored      LearnedState  `json:"Recalled"`
	RestoredUntil time.Duration `json:"RecalledUntil"`
}

// SnapshotNode is the state of a node.
type SnapshotNode struct {
	_       struct{} `cbor:",toarray"`
	Node    Node
	Waiting []int // indexes of requests

	UnitsInFlight    float64       `json:"Out"`
	AttemptsInFlight int           `json:"AtNode"`
	QueueMeasuredAt  time.Duration `json:"HeardAt"`
	QueueTime        float64       `json:"Queue"` // in seconds
	QueueWeight      float64       `json:"Known"` // number of responses that QueueTime is worth
	ConcurrencyLimit float64       `json:"Cap"`   // in units

	WindowOpenedAt  time.Duration `json:"Opened"`
	WindowUnits     float64       `json:"Served"`
	WindowResponses int           `json:"Answers"`
	WindowLatency   time.Duration `json:"Spent"`
	WindowWork      float64       `json:"Weight"`
	MaxRate         float64       // units a second
	Latency         float64       // in seconds
	MinLatency      float64       // in seconds
	LearnedAt       time.Duration
	RetestAt        time.Duration
	CutDrainedAt    time.Duration `json:"Drained"`
	CutLimit        float64       `json:"CutCap"`

	VirtualTime [queueTiers]float64             `json:"Virtual"`
	FinishTags  [queueTiers][]SnapshotFinishTag `json:"Finish"`

	Failures           int
	BackoffUntil       time.Duration `json:"HoldUntil"`
	Down               bool
	WarmingSince       time.Duration     `json:"ColdSince"`
	Pending            []SnapshotAttempt // attempts without an outcome; only their Request and Number are set
	SentAt             time.Duration
	Demand             float64        `json:"Asked"`
	DemandAt           time.Duration  `json:"AskedFor"`
	SlowStartDraw      float64        `json:"Lot"`
	SlowStartDrawUntil time.Duration  `json:"LotUntil"`
	UnansweredSince    time.Duration  `json:"AskedAt"`
	LastResponseAt     time.Duration  `json:"WordAt"`
	RecoveredAt        time.Duration  `json:"BackAt"`
	ResetAt            time.Duration  // time at which a connection last broke
	RecentSends        []SnapshotSend `json:"Sent"`
}

// SnapshotFinishTag is the fair-queueing tag at which the last request of a volume in a node's queue ends.
type SnapshotFinishTag struct {
	_      struct{} `cbor:",toarray"`
	Volume int
	Tag    float64
}

// SnapshotSend is an attempt that was sent to a node recently and counts toward the node's slow-start allowance.
type SnapshotSend struct {
	_     struct{} `cbor:",toarray"`
	At    time.Duration
	Units float64
}

// SnapshotVolume is the state of a volume.
type SnapshotVolume struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Indexed says that new requests find the volume by its name. Otherwise only the requests that refer to it still
	// use it.
	Indexed    bool          `json:"Held"`
	Plan       int           // index of Settings.Plans; -1 if there is none
	IdleAt     time.Duration `json:"SilentAt"`
	Weight     float64
	Hosts      float64
	Reserve    SnapshotTokenBucket
	Limit      SnapshotTokenBucket
	OwnUnits   float64       `json:"Own"`
	OwnUnitsAt time.Duration `json:"OwnAt"`
}

// SnapshotTokenBucket is the state of a token bucket.
type SnapshotTokenBucket struct {
	_          struct{} `cbor:",toarray"`
	Tokens     float64  `json:"Level"`
	Rate       float64
	Burst      float64       `json:"Most"`
	RefilledAt time.Duration `json:"At"`
}

// SnapshotRequest is the state of a request that has not ended or has an attempt without an outcome.
type SnapshotRequest struct {
	_               struct{} `cbor:",toarray"`
	Request         Request
	Volume          int
	Sequence        uint64
	ArrivedAt       time.Duration `json:"CameAt"`
	ObjectiveAt     time.Duration `json:"AimAt"`
	AnswerBy        time.Duration `json:"EndAt"`
	ClientTimeoutAt time.Duration `json:"LastAt"`
	Tier            int
	Tag             float64
	RandomDraw      float64           `json:"Luck"`
	Node            int               // index of the node in whose queue the request waits
	InFlight        []SnapshotAttempt `json:"Open"`
	Attempts        int
	Charged         bool          `json:"Drew"`
	FirstNode       int           `json:"RanOn"` // index of the node of the first attempt that may have run
	FirstSentAt     time.Duration `json:"RanAt"`
	FirstAttempt    int           `json:"RanBy"`
	MayStillRun     bool          `json:"MayRun"`
	SpilledOver     bool          `json:"Spilt"`
	StreamStarted   bool          `json:"Began"`
	Ended           bool
	TimerSet        bool `json:"Timed"` // the timer of the request has been set and has not fired
}

// SnapshotAttempt is the state of an attempt without an outcome.
type SnapshotAttempt struct {
	_          struct{} `cbor:",toarray"`
	Request    int
	Number     int
	Node       int
	SentAt     time.Duration `json:"At"`
	Overtaken  int           `json:"Passed"`
	Canceled   bool          `json:"Given"`
	Discounted bool          `json:"Doubted"`
}

// SnapshotOrderedKey is the state of an ordered key: the indexes of its requests and its quiet period.
type SnapshotOrderedKey struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	Waiters     []int         `json:"Line"`
	QuietUntil  time.Duration `json:"RestUntil"`
	QuietExempt int           `json:"RestFor"`
}

// SnapshotRejected is a request that was recently rejected or failed. Its objective and deadline also apply to the
// client's next try.
type SnapshotRejected struct {
	_               struct{} `cbor:",toarray"`
	Volume          string
	Key             string
	Class           int
	Units           float64
	ObjectiveAt     time.Duration `json:"AimAt"`
	ClientTimeoutAt time.Duration `json:"LastAt"`
}
