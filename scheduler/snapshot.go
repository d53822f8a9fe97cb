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
	_         struct{} `cbor:",toarray"`
	Version   int
	Random    []byte
	Now       time.Duration
	Alive     bool
	Nodes     []SnapshotNode
	Listed    int // of Nodes; the others are gone and only held by requests that ran there
	Volumes   []SnapshotVolume
	Requests  []SnapshotRequest // in the order of their arrival
	Homeless  []int
	Turns     []SnapshotTurn
	GivenUp   []SnapshotGivenUp
	Sequence  uint64
	Work      []float64
	Leaving   []float64
	Patience  []float64
	UnitTime  float64
	PerQueued float64
	Elsewhere float64
	Least     float64
	TakenAt   []time.Duration
	ExtraAt   []time.Duration
	AskAgain  time.Duration
	AskPause  time.Duration
	LoggedAt  time.Duration
	SweepAt   time.Duration
	Cautions  []Caution
	Careful   Care
	Budget    []retrybudget.Cell
	View      zonefailover.ViewState
	Spill     []zonefailover.SpillState

	Recalled      Learned // of an earlier life, not asked for yet
	RecalledUntil time.Duration
}

// SnapshotVersion is the version of Snapshot that this program takes and goes on from.
const SnapshotVersion = 4

// SnapshotNode is what is known of a node; its fields are those of the state.
type SnapshotNode struct {
	_          struct{} `cbor:",toarray"`
	Node       Node
	Waiting    []int
	Out        float64
	AtNode     int
	HeardAt    time.Duration
	Queue      float64
	Known      float64
	Cap        float64
	Opened     time.Duration
	Served     float64
	Answers    int
	Spent      time.Duration
	Weight     float64
	MaxRate    float64
	Latency    float64
	MinLatency float64
	LearnedAt  time.Duration
	RetestAt   time.Duration
	Drained    time.Duration
	CutCap     float64
	Virtual    [tiers]float64
	Finish     [tiers][]SnapshotFinish
	Failures   int
	HoldUntil  time.Duration
	Down       bool
	ColdSince  time.Duration
	Pending    []SnapshotAttempt
	SentAt     time.Duration
	Asked      float64
	AskedFor   time.Duration
	Lot        float64
	LotUntil   time.Duration
	AskedAt    time.Duration
	WordAt     time.Duration
	BackAt     time.Duration
	ResetAt    time.Duration
	Sent       []SnapshotSending
}

// SnapshotFinish is the tag at which a volume's last request at a node ends.
type SnapshotFinish struct {
	_      struct{} `cbor:",toarray"`
	Volume int
	Tag    float64
}

// SnapshotSending is a sending that the rule of cold nodes counts.
type SnapshotSending struct {
	_     struct{} `cbor:",toarray"`
	At    time.Duration
	Units float64
}

// SnapshotVolume is what is kept of a volume.
type SnapshotVolume struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Held     bool // it is found by its name; otherwise only its requests hold it
	Plan     int
	SilentAt time.Duration
	Weight   float64
	Hosts    float64
	Reserve  SnapshotStore
	Limit    SnapshotStore
	Own      float64
	OwnAt    time.Duration
}

// SnapshotStore is a store that fills.
type SnapshotStore struct {
	_                 struct{} `cbor:",toarray"`
	Level, Rate, Most float64
	At                time.Duration
}

// SnapshotRequest is a request that is open.
type SnapshotRequest struct {
	_        struct{} `cbor:",toarray"`
	Request  Request
	Volume   int
	Sequence uint64
	CameAt   time.Duration
	AimAt    time.Duration
	EndAt    time.Duration
	LastAt   time.Duration
	Tier     int
	Tag      float64
	Luck     float64
	Node     int
	Open     []SnapshotAttempt
	Attempts int
	Drew     bool
	RanOn    int
	RanAt    time.Duration
	RanBy    int
	MayRun   bool
	Spilt    bool
	Began    bool
	Ended    bool
	Timed    bool // its timer is out
}

// SnapshotAttempt is an attempt that is out. At its node only Request and Number are told, at its request all.
type SnapshotAttempt struct {
	_       struct{} `cbor:",toarray"`
	Request int
	Number  int
	Node    int
	At      time.Duration
	Passed  int
	Given   bool
	Doubted bool
}

// SnapshotTurn is the queue of an ordered key.
type SnapshotTurn struct {
	_         struct{} `cbor:",toarray"`
	Key       string
	Line      []int
	RestUntil time.Duration
	RestFor   int
}

// SnapshotGivenUp is a request lately given up.
type SnapshotGivenUp struct {
	_      struct{} `cbor:",toarray"`
	Volume string
	Key    string
	Class  int
	Units  float64
	AimAt  time.Duration
	LastAt time.Duration
}

// Snapshot takes the whole state. Parts that no later event can reach are left out.
func (s *Scheduler) Snapshot() *Snapshot {
	random, err := s.source.MarshalBinary()
	if err != nil {
		panic(err) // a PCG always gives its state
	}
	out := &Snapshot{Version: SnapshotVersion, Random: random, Now: s.now, Alive: s.alive, Sequence: s.sequence, Listed: len(s.listed),
		Work: slices.Clone(s.work), Leaving: slices.Clone(s.leaving), Patience: slices.Clone(s.patience),
		UnitTime: s.unitTime, PerQueued: s.perQueued, Elsewhere: s.elsewhere, Least: s.least,
		TakenAt: slices.Clone(s.takenAt), ExtraAt: slices.Clone(s.extraAt), AskAgain: s.askAgain, AskPause: s.askPause,
		LoggedAt: s.loggedAt, SweepAt: s.sweepAt, Cautions: s.cautions(), Careful: s.careful, Budget: s.budget.Snapshot(), RecalledUntil: s.recalledUntil,
		Recalled: Learned{Nodes: recalled(s.recalledNodes), Volumes: recalled(s.recalledVolumes)}}
	if s.view != nil {
		out.View, out.Spill = s.view.Snapshot(), s.spill.Snapshot()
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
	out.Homeless = t.places(s.homeless)
	for key, turn := range s.turns {
		out.Turns = append(out.Turns, SnapshotTurn{Key: key, Line: t.places(turn.line), RestUntil: turn.restUntil, RestFor: place(t.requests, turn.restFor)})
	}
	slices.SortFunc(out.Turns, func(a, b SnapshotTurn) int { return cmp.Compare(a.Key, b.Key) })
	for g, r := range s.givenUp {
		out.GivenUp = append(out.GivenUp, SnapshotGivenUp{Volume: g.volume, Key: g.key, Class: g.class, Units: g.units, AimAt: r.aimAt, LastAt: r.lastAt})
	}
	slices.SortFunc(out.GivenUp, func(a, b SnapshotGivenUp) int {
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
	out := SnapshotNode{Node: n.Node, Waiting: t.places(n.waiting), Out: n.out, AtNode: n.atNode, HeardAt: n.heardAt, Queue: n.queue, Known: n.known,
		Cap: n.cap, Opened: n.opened, Served: n.served, Answers: n.answers, Spent: n.spent, Weight: n.weight, MaxRate: n.maxRate, Latency: n.latency,
		MinLatency: n.minLatency, LearnedAt: n.learnedAt, RetestAt: n.retestAt, Drained: n.drained, CutCap: n.cutCap, Virtual: n.virtual,
		Failures: n.failures, HoldUntil: n.holdUntil, Down: n.down, ColdSince: n.coldSince, SentAt: n.sentAt, Asked: n.asked.level, AskedFor: n.asked.since, Lot: n.lot, LotUntil: n.lotUntil,
		AskedAt: n.askedAt, WordAt: n.wordAt, BackAt: n.backAt, ResetAt: n.resetAt}
	for tier := range n.finish {
		for v, tag := range n.finish[tier] {
			if i, ok := t.volumes[v]; ok {
				out.Finish[tier] = append(out.Finish[tier], SnapshotFinish{Volume: i, Tag: tag})
			}
		}
		slices.SortFunc(out.Finish[tier], func(a, b SnapshotFinish) int { return a.Volume - b.Volume })
	}
	for _, a := range n.pending {
		out.Pending = append(out.Pending, SnapshotAttempt{Request: t.requests[a.request], Number: a.number})
	}
	for _, x := range n.sent {
		out.Sent = append(out.Sent, SnapshotSending{At: x.at, Units: x.units})
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
	return SnapshotVolume{Name: name, Held: t.s.volumes[name] == v, Plan: plan, SilentAt: v.silentAt, Weight: v.weight, Hosts: v.hosts,
		Reserve: v.reserve.snapshot(), Limit: v.limit.snapshot(), Own: v.own.level, OwnAt: v.own.since}
}

func (s store) snapshot() SnapshotStore {
	return SnapshotStore{Level: s.level, Rate: s.rate, Most: s.most, At: s.at}
}

func (t *taking) request(r *request) SnapshotRequest {
	out := SnapshotRequest{Request: r.Request, Volume: t.volumes[r.volume], Sequence: r.sequence, CameAt: r.cameAt, AimAt: r.aimAt, EndAt: r.endAt,
		LastAt: r.lastAt, Tier: r.tier, Tag: r.tag, Luck: r.luck, Node: place(t.nodes, r.node), Attempts: r.attempts, Drew: r.drew,
		RanOn: place(t.nodes, r.ranOn), RanAt: r.ranAt, RanBy: r.ranBy, MayRun: r.mayRun, Spilt: r.spilt, Began: r.began, Ended: r.ended, Timed: t.s.timers[r.sequence] == r}
	for _, a := range r.open {
		out.Open = append(out.Open, SnapshotAttempt{Request: t.requests[r], Number: a.number, Node: t.nodes[a.node], At: a.at, Passed: a.passed,
			Given: a.given, Doubted: a.doubted})
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
	if len(from.Work) != classes || len(from.Leaving) != classes || len(from.Patience) != classes {
		return nil, fmt.Errorf("%w: it is of %d classes, the settings name %d", ErrSnapshot, len(from.Work), classes)
	}
	g := giving{s: s, from: from}
	s.source, s.rand = source, rand.New(source)
	s.now, s.alive, s.sequence = from.Now, from.Alive, from.Sequence
	copy(s.work, from.Work)
	copy(s.leaving, from.Leaving)
	copy(s.patience, from.Patience)
	s.unitTime, s.perQueued, s.elsewhere, s.least = from.UnitTime, from.PerQueued, from.Elsewhere, from.Least
	s.takenAt, s.extraAt = slices.Clone(from.TakenAt), slices.Clone(from.ExtraAt)
	s.askAgain, s.askPause, s.loggedAt, s.sweepAt = from.AskAgain, from.AskPause, from.LoggedAt, from.SweepAt
	if err := g.all(); err != nil {
		return nil, err
	}
	if s.recalledUntil = from.RecalledUntil; s.recalledUntil > 0 {
		s.remember(from.Recalled)
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
	if len(from.Cautions) > MostCautions {
		return fmt.Errorf("%w: %d cautions", ErrSnapshot, len(from.Cautions))
	}
	s.careful = from.Careful
	for _, c := range from.Cautions {
		s.cares[careKey{c.Operation, c.Node}] = c.Level
	}
	if err := s.budget.Resume(from.Budget); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if s.view != nil && (!s.view.Resume(from.View) || !s.spill.Resume(from.Spill)) {
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
	if s.homeless, err = g.list(from.Homeless); err != nil {
		return err
	}
	for _, t := range from.Turns {
		line, err := g.list(t.Line)
		if err != nil || !in(t.RestFor, len(g.requests), true) {
			return fmt.Errorf("%w: the turn of key %q", ErrSnapshot, t.Key)
		}
		s.turns[t.Key] = &turn{line: line, restUntil: t.RestUntil}
		if t.RestFor >= 0 {
			s.turns[t.Key].restFor = g.requests[t.RestFor]
		}
	}
	for _, r := range from.GivenUp {
		s.givenUp[signature{r.Volume, r.Key, r.Class, r.Units}] = &request{aimAt: r.AimAt, lastAt: r.LastAt}
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
	n := &node{Node: from.Node, out: from.Out, atNode: from.AtNode, heardAt: from.HeardAt, queue: from.Queue, known: from.Known, cap: from.Cap,
		opened: from.Opened, served: from.Served, answers: from.Answers, spent: from.Spent, weight: from.Weight, maxRate: from.MaxRate,
		latency: from.Latency, minLatency: from.MinLatency, learnedAt: from.LearnedAt, retestAt: from.RetestAt, drained: from.Drained,
		cutCap: from.CutCap, virtual: from.Virtual, failures: from.Failures, holdUntil: from.HoldUntil, down: from.Down, coldSince: from.ColdSince,
		sentAt: from.SentAt, asked: flow{from.Asked, from.AskedFor}, lot: from.Lot, lotUntil: from.LotUntil, askedAt: from.AskedAt, wordAt: from.WordAt, backAt: from.BackAt, resetAt: from.ResetAt, finish: [tiers]map[*volume]float64{{}, {}}}
	for _, x := range from.Sent {
		n.sent = append(n.sent, sending{x.At, x.Units})
	}
	g.nodes = append(g.nodes, n)
	if listed {
		g.s.nodes[n.ID] = n
		g.s.listed = append(g.s.listed, n)
	}
}

func (g *giving) volume(from *SnapshotVolume) error {
	v := &volume{plan: &Plan{Weight: 1, Price: 1}, silentAt: from.SilentAt, weight: from.Weight, hosts: from.Hosts,
		reserve: from.Reserve.store(), limit: from.Limit.store(), own: flow{from.Own, from.OwnAt}}
	if !in(from.Plan, len(g.s.set.Plans), true) {
		return fmt.Errorf("%w: volume %q has plan %d of %d", ErrSnapshot, from.Name, from.Plan, len(g.s.set.Plans))
	}
	if from.Plan >= 0 {
		v.plan = &g.s.set.Plans[from.Plan]
	}
	g.volumes = append(g.volumes, v)
	if from.Held {
		g.s.volumes[from.Name] = v
	}
	return nil
}

func (s SnapshotStore) store() store {
	return store{level: s.Level, rate: s.Rate, most: s.Most, at: s.At}
}

func (g *giving) request(i int, from *SnapshotRequest) error {
	if !in(from.Request.Class, len(g.s.set.Classes), false) || !in(from.Volume, len(g.volumes), false) || !in(from.Node, len(g.nodes), true) ||
		!in(from.RanOn, len(g.nodes), true) || from.Tier < 0 || from.Tier >= tiers {
		return fmt.Errorf("%w: request %q", ErrSnapshot, from.Request.ID)
	}
	r := &request{Request: from.Request, class: &g.s.set.Classes[from.Request.Class], volume: g.volumes[from.Volume], sequence: from.Sequence,
		cameAt: from.CameAt, aimAt: from.AimAt, endAt: from.EndAt, lastAt: from.LastAt, tier: from.Tier, tag: from.Tag, luck: from.Luck,
		attempts: from.Attempts, drew: from.Drew, ranAt: from.RanAt, ranBy: from.RanBy, mayRun: from.MayRun, spilt: from.Spilt, began: from.Began, ended: from.Ended}
	if from.Node >= 0 {
		r.node = g.nodes[from.Node]
	}
	if from.RanOn >= 0 {
		r.ranOn = g.nodes[from.RanOn]
	}
	for _, a := range from.Open {
		if a.Request != i || !in(a.Node, len(g.nodes), false) {
			return fmt.Errorf("%w: an attempt of request %q", ErrSnapshot, from.Request.ID)
		}
		r.open = append(r.open, &attempt{request: r, number: a.Number, node: g.nodes[a.Node], at: a.At, passed: a.Passed, given: a.Given, doubted: a.Doubted})
	}
	r.bound = r.class.Bound().Narrowed(r.Bound)
	g.requests = append(g.requests, r)
	g.s.requests[r.ID] = r
	if from.Timed {
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
	for tier := range from.Finish {
		for _, f := range from.Finish[tier] {
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
