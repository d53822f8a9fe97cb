package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// Snapshot is the whole state of a Scheduler as plain data: a Scheduler made from it goes on as the one that it was taken of would have
// done, to the byte. Pointers between its parts are places in Nodes, Volumes and Requests, none is -1. It decides nothing; the arrays
// that it is written as carry no names, so any change of these types is a change of SnapshotVersion.
type Snapshot struct {
	_                   struct{} `cbor:",toarray"`
	Version             int
	Random              []byte
	Now                 time.Duration
	Started             bool `json:"Alive"`
	Nodes               []SnapshotNode
	Listed              int // of Nodes; the others are gone and only held by requests that ran there
	Volumes             []SnapshotVolume
	Requests            []SnapshotRequest    // in the order of their arrival
	Unassigned          []int                `json:"Homeless"`
	OrderedKeys         []SnapshotOrderedKey `json:"Turns"`
	Rejected            []SnapshotRejected   `json:"GivenUp"`
	Sequence            uint64
	ClassWork           []float64       `json:"Work"`
	DisconnectShare     []float64       `json:"Leaving"`
	DisconnectAfter     []float64       `json:"Patience"`
	ServiceTimePerUnit  float64         `json:"UnitTime"`
	QueueTimePerRequest float64         `json:"PerQueued"`
	FleetQueue          float64         `json:"Elsewhere"`
	MinLatencyMedian    float64         `json:"Least"`
	ArrivedAt           []time.Duration `json:"TakenAt"`
	RetriedAt           []time.Duration `json:"ExtraAt"`
	WatchAgainAt        time.Duration   `json:"AskAgain"`
	WatchBackoff        time.Duration   `json:"AskPause"`
	LoggedAt            time.Duration
	SweepAt             time.Duration
	Restrictions        []Restriction                 `json:"Cautions"`
	OverflowRestriction RestrictionLevel              `json:"Careful"`
	RetryBudget         []retrybudget.Budget          `json:"Budget"`
	ZoneHealth          zonefailover.TrackerState     `json:"View"`
	Spillover           []zonefailover.SpilloverState `json:"Spill"`

	Restored      LearnedState  `json:"Recalled"` // of an earlier life, not asked for yet
	RestoredUntil time.Duration `json:"RecalledUntil"`
}

// SnapshotVersion is the version of Snapshot that this program takes and goes on from.
const SnapshotVersion = 4

// SnapshotNode is what is known of a node; its fields are those of the state.
type SnapshotNode struct {
	_                  struct{} `cbor:",toarray"`
	Node               Node
	Waiting            []int
	UnitsInFlight      float64       `json:"Out"`
	AttemptsInFlight   int           `json:"AtNode"`
	LastServedAt       time.Duration `json:"HeardAt"`
	Queue              float64
	QueueConfidence    float64 `json:"Known"`
	Cap                float64
	WindowOpenedAt     time.Duration `json:"Opened"`
	WindowUnits        float64       `json:"Served"`
	WindowResponses    int           `json:"Answers"`
	WindowLatency      time.Duration `json:"Spent"`
	WindowWork         float64       `json:"Weight"`
	MaxRate            float64
	Latency            float64
	MinLatency         float64
	LearnedAt          time.Duration
	RetestAt           time.Duration
	CutDrainedAt       time.Duration `json:"Drained"`
	CutCap             float64
	VirtualTime        [tiers]float64             `json:"Virtual"`
	FinishTags         [tiers][]SnapshotFinishTag `json:"Finish"`
	Failures           int
	BackoffUntil       time.Duration `json:"HoldUntil"`
	Down               bool
	WarmingSince       time.Duration `json:"ColdSince"`
	Pending            []SnapshotAttempt
	SentAt             time.Duration
	Demand             float64       `json:"Asked"`
	DemandAt           time.Duration `json:"AskedFor"`
	SlowStartDraw      float64       `json:"Lot"`
	SlowStartDrawUntil time.Duration `json:"LotUntil"`
	UnansweredSince    time.Duration `json:"AskedAt"`
	LastResponseAt     time.Duration `json:"WordAt"`
	RecoveredAt        time.Duration `json:"BackAt"`
	ResetAt            time.Duration
	RecentSends        []SnapshotSend `json:"Sent"`
}

// SnapshotFinishTag is the tag at which a volume's last request at a node ends.
type SnapshotFinishTag struct {
	_      struct{} `cbor:",toarray"`
	Volume int
	Tag    float64
}

// SnapshotSend is a sending that the rule of cold nodes counts.
type SnapshotSend struct {
	_     struct{} `cbor:",toarray"`
	At    time.Duration
	Units float64
}

// SnapshotVolume is what is kept of a volume.
type SnapshotVolume struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Indexed    bool `json:"Held"` // it is found by its name; otherwise only its requests hold it
	Plan       int
	IdleAt     time.Duration `json:"SilentAt"`
	Weight     float64
	Hosts      float64
	Reserve    SnapshotTokenBucket
	Limit      SnapshotTokenBucket
	OwnUnits   float64       `json:"Own"`
	OwnUnitsAt time.Duration `json:"OwnAt"`
}

// SnapshotTokenBucket is a store that fills.
type SnapshotTokenBucket struct {
	_          struct{} `cbor:",toarray"`
	Tokens     float64  `json:"Level"`
	Rate       float64
	Burst      float64       `json:"Most"`
	RefilledAt time.Duration `json:"At"`
}

// SnapshotRequest is a request that is open.
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
	RandomDraw      float64 `json:"Luck"`
	Node            int
	InFlight        []SnapshotAttempt `json:"Open"`
	Attempts        int
	Charged         bool          `json:"Drew"`
	FirstNode       int           `json:"RanOn"`
	FirstSentAt     time.Duration `json:"RanAt"`
	FirstAttempt    int           `json:"RanBy"`
	MayStillRun     bool          `json:"MayRun"`
	SpilledOver     bool          `json:"Spilt"`
	StreamStarted   bool          `json:"Began"`
	Ended           bool
	TimerSet        bool `json:"Timed"` // its timer is out
}

// SnapshotAttempt is an attempt that is out. At its node only Request and Number are told, at its request all.
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

// SnapshotOrderedKey is the queue of an ordered key.
type SnapshotOrderedKey struct {
	_          struct{} `cbor:",toarray"`
	Key        string
	Waiters    []int         `json:"Line"`
	QuietUntil time.Duration `json:"RestUntil"`
	QuietFor   int           `json:"RestFor"`
}

// SnapshotRejected is a request lately given up.
type SnapshotRejected struct {
	_               struct{} `cbor:",toarray"`
	Volume          string
	Key             string
	Class           int
	Units           float64
	ObjectiveAt     time.Duration `json:"AimAt"`
	ClientTimeoutAt time.Duration `json:"LastAt"`
}

// Snapshot takes the whole state. Parts that no later event can reach are left out.
func (s *Scheduler) Snapshot() *Snapshot {
	random, err := s.source.MarshalBinary()
	if err != nil {
		panic(err) // a PCG always gives its state
	}
	out := &Snapshot{Version: SnapshotVersion, Random: random, Now: s.now, Started: s.alive, Sequence: s.sequence, Listed: len(s.listed),
		ClassWork: slices.Clone(s.work), DisconnectShare: slices.Clone(s.leaving), DisconnectAfter: slices.Clone(s.patience),
		ServiceTimePerUnit: s.unitTime, QueueTimePerRequest: s.perQueued, FleetQueue: s.elsewhere, MinLatencyMedian: s.least,
		ArrivedAt: slices.Clone(s.takenAt), RetriedAt: slices.Clone(s.extraAt), WatchAgainAt: s.askAgain, WatchBackoff: s.askPause,
		LoggedAt: s.loggedAt, SweepAt: s.sweepAt, Restrictions: s.cautions(), OverflowRestriction: s.careful, RetryBudget: s.budget.Snapshot(), RestoredUntil: s.recalledUntil,
		Restored: LearnedState{Nodes: recalled(s.recalledNodes), Volumes: recalled(s.recalledVolumes)}}
	if s.view != nil {
		out.ZoneHealth, out.Spillover = s.view.Snapshot(), s.spill.Snapshot()
	}
	t := taking{s: s, nodes: map[*node]int{}, volumes: map[*volume]int{}, requests: map[*request]int{}}
	t.number()
	for _, n := range t.nodeList {
		out.Nodes = append(out.Nodes, t.node(n))
	}
	for i, v := range t.volumeList {
		out.Volumes = append(out.Volumes, t.volume(t.volumeNames[i], v))
	}
	for _, r := range t.requestList {
		out.Requests = append(out.Requests, t.request(r))
	}
	out.Unassigned = t.places(s.homeless)
	for key, turn := range s.turns {
		out.OrderedKeys = append(out.OrderedKeys, SnapshotOrderedKey{Key: key, Waiters: t.places(turn.line), QuietUntil: turn.restUntil, QuietFor: place(t.requests, turn.restFor)})
	}
	slices.SortFunc(out.OrderedKeys, func(a, b SnapshotOrderedKey) int { return cmp.Compare(a.Key, b.Key) })
	for g, r := range s.givenUp {
		out.Rejected = append(out.Rejected, SnapshotRejected{Volume: g.volume, Key: g.key, Class: g.class, Units: g.units, ObjectiveAt: r.aimAt, ClientTimeoutAt: r.lastAt})
	}
	slices.SortFunc(out.Rejected, func(a, b SnapshotRejected) int {
		return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Key, b.Key), a.Class-b.Class, cmp.Compare(a.Units, b.Units))
	})
	return out
}

// taking numbers the parts of a state.
type taking struct {
	s           *Scheduler
	nodes       map[*node]int
	nodeList    []*node
	volumes     map[*volume]int
	volumeList  []*volume
	volumeNames []string
	requests    map[*request]int
	requestList []*request
}

// number gives every part that can be reached its place, the same one whatever the order of the maps.
func (t *taking) number() {
	for _, r := range t.s.requests {
		t.requestList = append(t.requestList, r)
	}
	slices.SortFunc(t.requestList, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for i, r := range t.requestList {
		t.requests[r] = i
	}
	for name := range t.s.volumes {
		t.volumeNames = append(t.volumeNames, name)
	}
	slices.Sort(t.volumeNames)
	for i, name := range t.volumeNames {
		v := t.s.volumes[name]
		t.volumes[v], t.volumeList = i, append(t.volumeList, v)
	}
	for _, n := range t.s.listed {
		t.addNode(n)
	}
	for _, r := range t.requestList {
		if _, ok := t.volumes[r.volume]; !ok {
			t.volumes[r.volume] = len(t.volumeList)
			t.volumeList, t.volumeNames = append(t.volumeList, r.volume), append(t.volumeNames, r.Volume)
		}
		t.addNode(r.ranOn)
		t.addNode(r.node)
		for _, a := range r.open {
			t.addNode(a.node)
		}
	}
}

func (t *taking) addNode(n *node) {
	if _, ok := t.nodes[n]; !ok && n != nil {
		t.nodes[n] = len(t.nodeList)
		t.nodeList = append(t.nodeList, n)
	}
}

// place is where a part is, or -1.
func place[T comparable](in map[T]int, part T) int {
	if i, ok := in[part]; ok {
		return i
	}
	return -1
}

func (t *taking) places(list []*request) (out []int) {
	for _, r := range list {
		out = append(out, t.requests[r])
	}
	return out
}

func (t *taking) node(n *node) SnapshotNode {
	out := SnapshotNode{Node: n.Node, Waiting: t.places(n.waiting), UnitsInFlight: n.out, AttemptsInFlight: n.atNode, LastServedAt: n.heardAt, Queue: n.queue, QueueConfidence: n.known,
		Cap: n.cap, WindowOpenedAt: n.opened, WindowUnits: n.served, WindowResponses: n.answers, WindowLatency: n.spent, WindowWork: n.weight, MaxRate: n.maxRate, Latency: n.latency,
		MinLatency: n.minLatency, LearnedAt: n.learnedAt, RetestAt: n.retestAt, CutDrainedAt: n.drained, CutCap: n.cutCap, VirtualTime: n.virtual,
		Failures: n.failures, BackoffUntil: n.holdUntil, Down: n.down, WarmingSince: n.coldSince, SentAt: n.sentAt, Demand: n.asked.level, DemandAt: n.asked.since, SlowStartDraw: n.lot, SlowStartDrawUntil: n.lotUntil,
		UnansweredSince: n.askedAt, LastResponseAt: n.wordAt, RecoveredAt: n.backAt, ResetAt: n.resetAt}
	for tier := range n.finish {
		for v, tag := range n.finish[tier] {
			if i, ok := t.volumes[v]; ok {
				out.FinishTags[tier] = append(out.FinishTags[tier], SnapshotFinishTag{Volume: i, Tag: tag})
			}
		}
		slices.SortFunc(out.FinishTags[tier], func(a, b SnapshotFinishTag) int { return a.Volume - b.Volume })
	}
	for _, a := range n.pending {
		out.Pending = append(out.Pending, SnapshotAttempt{Request: t.requests[a.request], Number: a.number})
	}
	for _, x := range n.sent {
		out.RecentSends = append(out.RecentSends, SnapshotSend{At: x.at, Units: x.units})
	}
	return out
}

func (t *taking) volume(name string, v *volume) SnapshotVolume {
	plan := -1
	for i := range t.s.set.Plans {
		if v.plan == &t.s.set.Plans[i] { // by place, as names need not differ
			plan = i
		}
	}
	return SnapshotVolume{Name: name, Indexed: t.s.volumes[name] == v, Plan: plan, IdleAt: v.silentAt, Weight: v.weight, Hosts: v.hosts,
		Reserve: v.reserve.snapshot(), Limit: v.limit.snapshot(), OwnUnits: v.own.level, OwnUnitsAt: v.own.since}
}

func (s store) snapshot() SnapshotTokenBucket {
	return SnapshotTokenBucket{Tokens: s.level, Rate: s.rate, Burst: s.most, RefilledAt: s.at}
}

func (t *taking) request(r *request) SnapshotRequest {
	out := SnapshotRequest{Request: r.Request, Volume: t.volumes[r.volume], Sequence: r.sequence, ArrivedAt: r.cameAt, ObjectiveAt: r.aimAt, AnswerBy: r.endAt,
		ClientTimeoutAt: r.lastAt, Tier: r.tier, Tag: r.tag, RandomDraw: r.luck, Node: place(t.nodes, r.node), Attempts: r.attempts, Charged: r.drew,
		FirstNode: place(t.nodes, r.ranOn), FirstSentAt: r.ranAt, FirstAttempt: r.ranBy, MayStillRun: r.mayRun, SpilledOver: r.spilt, StreamStarted: r.began, Ended: r.ended, TimerSet: t.s.timers[r.sequence] == r}
	for _, a := range r.open {
		out.InFlight = append(out.InFlight, SnapshotAttempt{Request: t.requests[r], Number: a.number, Node: t.nodes[a.node], SentAt: a.at, Overtaken: a.passed,
			Canceled: a.given, Discounted: a.doubted})
	}
	return out
}

// ErrSnapshot says that a snapshot can't be gone on from.
var ErrSnapshot = errors.New("decide: the snapshot does not hold together")

// Resume makes a Scheduler that goes on from a snapshot. It fails with ErrSnapshot on one that is of another version, of other settings, or
// points to parts that it lacks.
func Resume(settings Settings, from *Snapshot, actions Actions) (*Scheduler, error) {
	s, err := New(settings, 0, actions)
	if err != nil {
		return nil, err
	}
	if from.Version != SnapshotVersion {
		return nil, fmt.Errorf("%w: it is of version %d, this program goes on from %d", ErrSnapshot, from.Version, SnapshotVersion)
	}
	source := rand.NewPCG(0, 0)
	if err := source.UnmarshalBinary(from.Random); err != nil {
		return nil, fmt.Errorf("%w: random numbers: %w", ErrSnapshot, err)
	}
	classes := len(settings.Classes)
	if len(from.ClassWork) != classes || len(from.DisconnectShare) != classes || len(from.DisconnectAfter) != classes {
		return nil, fmt.Errorf("%w: it is of %d classes, the settings name %d", ErrSnapshot, len(from.ClassWork), classes)
	}
	g := giving{s: s, from: from}
	s.source, s.rand = source, rand.New(source)
	s.now, s.alive, s.sequence = from.Now, from.Started, from.Sequence
	copy(s.work, from.ClassWork)
	copy(s.leaving, from.DisconnectShare)
	copy(s.patience, from.DisconnectAfter)
	s.unitTime, s.perQueued, s.elsewhere, s.least = from.ServiceTimePerUnit, from.QueueTimePerRequest, from.FleetQueue, from.MinLatencyMedian
	s.takenAt, s.extraAt = slices.Clone(from.ArrivedAt), slices.Clone(from.RetriedAt)
	s.askAgain, s.askPause, s.loggedAt, s.sweepAt = from.WatchAgainAt, from.WatchBackoff, from.LoggedAt, from.SweepAt
	if err := g.all(); err != nil {
		return nil, err
	}
	if s.recalledUntil = from.RestoredUntil; s.recalledUntil > 0 {
		s.remember(from.Restored)
	}
	return s, nil
}

// giving makes the parts of a state anew.
type giving struct {
	s        *Scheduler
	from     *Snapshot
	nodes    []*node
	volumes  []*volume
	requests []*request
}

// in tells whether a place is one of so many; none, which is -1, may be allowed.
func in(i, length int, none bool) bool { return i >= 0 && i < length || none && i == -1 }

func (g *giving) all() error {
	s, from := g.s, g.from
	if from.Listed < 0 || from.Listed > len(from.Nodes) {
		return fmt.Errorf("%w: %d of %d nodes are listed", ErrSnapshot, from.Listed, len(from.Nodes))
	}
	if len(from.Restrictions) > MaxRestrictions {
		return fmt.Errorf("%w: %d cautions", ErrSnapshot, len(from.Restrictions))
	}
	s.careful = from.OverflowRestriction
	for _, c := range from.Restrictions {
		s.cares[careKey{c.Operation, c.Node}] = c.Level
	}
	if err := s.budget.Resume(from.RetryBudget); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if s.view != nil && (!s.view.Resume(from.ZoneHealth) || !s.spill.Resume(from.Spillover)) {
		return fmt.Errorf("%w: its rooms are others", ErrSnapshot)
	}
	for i := range from.Nodes {
		g.node(&from.Nodes[i], i < from.Listed)
	}
	s.index()
	for i := range from.Volumes {
		if err := g.volume(&from.Volumes[i]); err != nil {
			return err
		}
	}
	for i := range from.Requests {
		if err := g.request(i, &from.Requests[i]); err != nil {
			return err
		}
	}
	for i := range from.Nodes {
		if err := g.queues(g.nodes[i], &from.Nodes[i]); err != nil {
			return err
		}
	}
	var err error
	if s.homeless, err = g.list(from.Unassigned); err != nil {
		return err
	}
	for _, t := range from.OrderedKeys {
		line, err := g.list(t.Waiters)
		if err != nil || !in(t.QuietFor, len(g.requests), true) {
			return fmt.Errorf("%w: the turn of key %q", ErrSnapshot, t.Key)
		}
		s.turns[t.Key] = &turn{line: line, restUntil: t.QuietUntil}
		if t.QuietFor >= 0 {
			s.turns[t.Key].restFor = g.requests[t.QuietFor]
		}
	}
	for _, r := range from.Rejected {
		s.givenUp[signature{r.Volume, r.Key, r.Class, r.Units}] = &request{aimAt: r.ObjectiveAt, lastAt: r.ClientTimeoutAt}
	}
	return nil
}

func (g *giving) list(places []int) (out []*request, err error) {
	for _, i := range places {
		if !in(i, len(g.requests), false) {
			return nil, fmt.Errorf("%w: request %d of %d", ErrSnapshot, i, len(g.requests))
		}
		out = append(out, g.requests[i])
	}
	return out, nil
}

func (g *giving) node(from *SnapshotNode, listed bool) {
	n := &node{Node: from.Node, out: from.UnitsInFlight, atNode: from.AttemptsInFlight, heardAt: from.LastServedAt, queue: from.Queue, known: from.QueueConfidence, cap: from.Cap,
		opened: from.WindowOpenedAt, served: from.WindowUnits, answers: from.WindowResponses, spent: from.WindowLatency, weight: from.WindowWork, maxRate: from.MaxRate,
		latency: from.Latency, minLatency: from.MinLatency, learnedAt: from.LearnedAt, retestAt: from.RetestAt, drained: from.CutDrainedAt,
		cutCap: from.CutCap, virtual: from.VirtualTime, failures: from.Failures, holdUntil: from.BackoffUntil, down: from.Down, coldSince: from.WarmingSince,
		sentAt: from.SentAt, asked: flow{from.Demand, from.DemandAt}, lot: from.SlowStartDraw, lotUntil: from.SlowStartDrawUntil, askedAt: from.UnansweredSince, wordAt: from.LastResponseAt, backAt: from.RecoveredAt, resetAt: from.ResetAt, finish: [tiers]map[*volume]float64{{}, {}}}
	for _, x := range from.RecentSends {
		n.sent = append(n.sent, sending{x.At, x.Units})
	}
	g.nodes = append(g.nodes, n)
	if listed {
		g.s.nodes[n.ID] = n
		g.s.listed = append(g.s.listed, n)
	}
}

func (g *giving) volume(from *SnapshotVolume) error {
	v := &volume{plan: &Plan{Weight: 1, Price: 1}, silentAt: from.IdleAt, weight: from.Weight, hosts: from.Hosts,
		reserve: from.Reserve.store(), limit: from.Limit.store(), own: flow{from.OwnUnits, from.OwnUnitsAt}}
	if !in(from.Plan, len(g.s.set.Plans), true) {
		return fmt.Errorf("%w: volume %q has plan %d of %d", ErrSnapshot, from.Name, from.Plan, len(g.s.set.Plans))
	}
	if from.Plan >= 0 {
		v.plan = &g.s.set.Plans[from.Plan]
	}
	g.volumes = append(g.volumes, v)
	if from.Indexed {
		g.s.volumes[from.Name] = v
	}
	return nil
}

func (s SnapshotTokenBucket) store() store {
	return store{level: s.Tokens, rate: s.Rate, most: s.Burst, at: s.RefilledAt}
}

func (g *giving) request(i int, from *SnapshotRequest) error {
	if !in(from.Request.Class, len(g.s.set.Classes), false) || !in(from.Volume, len(g.volumes), false) || !in(from.Node, len(g.nodes), true) ||
		!in(from.FirstNode, len(g.nodes), true) || from.Tier < 0 || from.Tier >= tiers {
		return fmt.Errorf("%w: request %q", ErrSnapshot, from.Request.ID)
	}
	r := &request{Request: from.Request, class: &g.s.set.Classes[from.Request.Class], volume: g.volumes[from.Volume], sequence: from.Sequence,
		cameAt: from.ArrivedAt, aimAt: from.ObjectiveAt, endAt: from.AnswerBy, lastAt: from.ClientTimeoutAt, tier: from.Tier, tag: from.Tag, luck: from.RandomDraw,
		attempts: from.Attempts, drew: from.Charged, ranAt: from.FirstSentAt, ranBy: from.FirstAttempt, mayRun: from.MayStillRun, spilt: from.SpilledOver, began: from.StreamStarted, ended: from.Ended}
	if from.Node >= 0 {
		r.node = g.nodes[from.Node]
	}
	if from.FirstNode >= 0 {
		r.ranOn = g.nodes[from.FirstNode]
	}
	for _, a := range from.InFlight {
		if a.Request != i || !in(a.Node, len(g.nodes), false) {
			return fmt.Errorf("%w: an attempt of request %q", ErrSnapshot, from.Request.ID)
		}
		r.open = append(r.open, &attempt{request: r, number: a.Number, node: g.nodes[a.Node], at: a.SentAt, passed: a.Overtaken, given: a.Canceled, doubted: a.Discounted})
	}
	r.bound = r.class.RetryPolicy().NarrowedBy(r.RetryPolicy)
	g.requests = append(g.requests, r)
	g.s.requests[r.ID] = r
	if from.TimerSet {
		g.s.timers[r.sequence] = r
	}
	return nil
}

// queues gives a node what refers to volumes and requests.
func (g *giving) queues(n *node, from *SnapshotNode) (err error) {
	if from.Failures < 0 {
		return fmt.Errorf("%w: node %q has %d failures", ErrSnapshot, n.ID, from.Failures)
	}
	if n.waiting, err = g.list(from.Waiting); err != nil {
		return fmt.Errorf("node %q: %w", n.ID, err)
	}
	for tier := range from.FinishTags {
		for _, f := range from.FinishTags[tier] {
			if !in(f.Volume, len(g.volumes), false) {
				return fmt.Errorf("%w: node %q has volume %d of %d", ErrSnapshot, n.ID, f.Volume, len(g.volumes))
			}
			n.finish[tier][g.volumes[f.Volume]] = f.Tag
		}
	}
	for _, p := range from.Pending {
		if !in(p.Request, len(g.requests), false) {
			return fmt.Errorf("%w: node %q has an attempt of request %d of %d", ErrSnapshot, n.ID, p.Request, len(g.requests))
		}
		open := g.requests[p.Request].open
		i := slices.IndexFunc(open, func(a *attempt) bool { return a.number == p.Number && a.node == n })
		if i < 0 {
			return fmt.Errorf("%w: node %q has an attempt that its request lacks", ErrSnapshot, n.ID)
		}
		n.pending = append(n.pending, open[i])
	}
	return nil
}
