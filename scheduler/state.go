package scheduler

import (
	"math"
	"math/rand/v2"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// The state of a Scheduler. Nothing is decided here; decide.go does.

// Scheduler decides for one host.
type Scheduler struct {
	set         Settings
	act         Actions
	source      *rand.PCG // of rand
	rand        *rand.Rand
	now         time.Duration
	alive       bool // the first event was seen
	nodes       map[string]*node
	listed      []*node         // every node ever listed, in order of listing
	byShard     map[int][]*node // the same, in the same order
	volumes     map[string]*volume
	requests    map[string]*request // accepted and not ended, or with an attempt that has no outcome
	timers      map[uint64]*request
	homeless    []*request // no listed node may take them now
	turns       map[string]*turn
	sequence    uint64
	givenUp     map[signature]*request // lately given up
	shortestAim time.Duration
	work        []float64 // latency of a unit of each class, against the mean
	leaving     []float64 // share of each class whose clients left early
	patience    []float64 // and after how many seconds
	unitTime    float64   // mean seconds a unit
	perQueued   float64   // seconds that a request waiting at a node adds to its queue
	elsewhere   float64   // median queue of the nodes heard lately, in seconds
	least       float64   // median of their minLatency
	takenAt     []time.Duration
	extraAt     []time.Duration
	askAgain    time.Duration // when to call for the list again; 0: no need
	askPause    time.Duration
	loggedAt    time.Duration
	sweepAt     time.Duration
	cares       map[careKey]RestrictionLevel
	careful     RestrictionLevel               // of all operations that have a name: cares is full
	budget      *retrybudget.Budgets           // nil: further attempts need not be earned
	view        *zonefailover.Tracker          // nil: nobody looks at zones as a whole
	spill       *zonefailover.SpilloverLimiter // of the view

	recalledNodes   map[string]*LearnedNode // of an earlier life of this host, until they are listed
	recalledVolumes map[string]*LearnedVolume
	recalledUntil   time.Duration
}

// index finds the nodes of each shard anew, after any change of the list: a request for data looks at those that may hold it alone.
func (s *Scheduler) index() {
	s.byShard = make(map[int][]*node, len(s.listed))
	for _, n := range s.listed {
		s.byShard[n.Shard] = append(s.byShard[n.Shard], n)
	}
}

// node is a storage node as this host sees it.
type node struct {
	Node
	waiting []*request    // in the order in which they are expected to leave
	out     float64       // units out
	atNode  int           // attempts out
	heardAt time.Duration // last served attempt
	queue   float64       // seconds that its queue took, smoothed over answers
	known   float64       // answers that this is worth
	cap     float64

	opened  time.Duration // start of the window
	served  float64       // units served in it
	answers int
	spent   time.Duration // latency of its answers
	weight  float64       // their expected work, in mean requests

	maxRate    float64 // units a second
	latency    float64 // seconds a mean request, smoothed
	minLatency float64
	learnedAt  time.Duration // close of the last window that held an answer
	retestAt   time.Duration // next cut
	drained    time.Duration // end of the cut's drain; 0: no cut
	cutCap     float64

	virtual [tiers]float64 // virtual time: tag of the last request that left
	finish  [tiers]map[*volume]float64

	failures  int // times in a row that it could not be reached or was full
	holdUntil time.Duration
	down      bool          // connects failed repeatedly, and nothing was served since
	coldSince time.Duration // its start as listed, or when it answered after it was down; 0: warm
	pending   []*attempt    // in the order in which they were sent
	sentAt    time.Duration
	askedAt   time.Duration // the first attempt since its last word; 0: none
	wordAt    time.Duration // its last word: an answer, or a connection refused at once
	resetAt   time.Duration // when an attempt last broke
	backAt    time.Duration // when it came back from the dark, until it is known whether it had started anew; 0: it is known
	sent      []sending     // attempts and probes within the window of the cold rule
	asked     flow          // units for its data
	lot       float64       // by which the part of a cold node is rounded up for now
	lotUntil  time.Duration
}

type sending struct {
	at    time.Duration
	units float64
}

// volume is what this host keeps of a volume.
type volume struct {
	plan     *Plan
	silentAt time.Duration // when its last request is over for long
	weight   float64
	hosts    float64 // through which its requests come
	reserve  store
	limit    store
	own      flow // units served through this host
}

// flow is what came lately: each part of it fades by e within the span that is meant.
type flow struct {
	level float64
	since time.Duration
}

func (f *flow) at(now, span time.Duration) float64 {
	return f.level * math.Exp(-(now-f.since).Seconds()/max(span, time.Millisecond).Seconds())
}

func (f *flow) add(now, span time.Duration, units float64) {
	f.level, f.since = f.at(now, span)+units, now
}

// store fills at rate up to most.
type store struct {
	level, rate, most float64
	at                time.Duration
}

func (s *store) fill(now time.Duration) float64 {
	s.level = min(s.most, s.level+s.rate*(now-s.at).Seconds())
	s.at = now
	return s.level
}

// request is a request from its arrival until it has ended and all its attempts have outcomes.
type request struct {
	Request
	class    *Class
	bound    RetryPolicy // how far it may be repeated
	volume   *volume
	sequence uint64
	cameAt   time.Duration
	aimAt    time.Duration
	endAt    time.Duration // its final answer is due
	lastAt   time.Duration // end of the client\'s patience over all its tries
	tier     int
	tag      float64
	luck     float64 // 0 to 1, drawn at its arrival
	node     *node   // where it waits
	open     []*attempt
	attempts int
	spilt    bool  // it goes to another room than it prefers
	drew     bool  // its units were drawn from the limit
	ranOn    *node // node of the first attempt that may have run
	ranAt    time.Duration
	ranBy    int  // that attempt
	mayRun   bool // an attempt ended without an answer: it may still run
	began    bool // its stream has begun
	ended    bool
}

type attempt struct {
	request *request
	number  int
	node    *node
	at      time.Duration
	passed  int  // attempts sent later to its node that were served before it
	given   bool // withdrawn as lost
	doubted bool // it hardly is at the node any more, so it holds no room there
}

// doubt has an attempt hold no room at its node any more.
func (a *attempt) doubt() {
	if !a.doubted {
		a.doubted = true
		a.node.out = max(0, a.node.out-a.request.Units)
		a.node.atNode--
	}
}

// turn is the queue of an ordered key.
type turn struct {
	line      []*request
	restUntil time.Duration
	restFor   *request // the rest binds all but this one
}

// signature tells requests apart that can't be tries of the same client's wish.
type signature struct {
	volume, key string
	class       int
	units       float64
}

func (r *request) signature() signature { return signature{r.Volume, r.Key, r.Class, r.Units} }

// sentSince is the units sent to the node since a time.
func (n *node) sentSince(at time.Duration) (sum float64) {
	for _, x := range n.sent {
		if x.at > at {
			sum += x.units
		}
	}
	return sum
}

func (n *node) queuedUnits() (sum float64) {
	for _, r := range n.waiting {
		sum += r.Units
	}
	return sum
}
