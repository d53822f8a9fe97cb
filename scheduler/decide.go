// Package scheduler makes the decisions of a scheduler of reads and writes before shared storage nodes: which
// request waits, which goes to which node and when, which is turned away, and what is done when nodes fail.
// Its settings, events and actions are in api.go, the types of its state in state.go; why: docs/design.md.
// A Scheduler is deterministic, not safe for concurrent use, and shares nothing with other Schedulers.
package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

// Tuned values. "Design" marks what the design gives, "ours" what we set.
const (
	alpha           = 0.3                    // growth of latency that a cap accepts (design's default)
	emaAlpha        = 0.1                    // pull of a lower window on minLatency, a tenth on maxRate
	windowSpan      = 500 * time.Millisecond // a window closes after this time (design)
	windowAnswers   = 8                      // or after so many answers (ours)
	smoothAnswers   = 4                      // answers that weigh as much as all earlier windows (ours)
	longWork        = 2                      // times its expected work that a request may well take (ours)
	nodeForget      = 5 * time.Second        // in this time what is known of a node's queue fades by e (ours)
	lostAims        = 4                      // shortest aims until what is overdue counts as lost (ours)
	poolForget      = 3 * time.Second        // nodes heard so lately tell of the queue elsewhere (ours)
	poolAnswers     = 1                      // answers that the queue elsewhere is worth at a node (ours)
	retestEvery     = 10 * time.Second       // between two cuts that remeasure minLatency (design)
	retestDepth     = 0.5                    // a cut leaves this share of the units out (ours)
	retestDrain     = 2                      // a cut waits for this many latencies (design)
	retestRaise     = 1.05                   // a cut raises minLatency by this factor at most (ours)
	luckyTime       = 0.6                    // part of the time expected that may well do (ours)
	sharedAim       = 0.6                    // part of the shortest aim that unreserved units may queue
	holdAim         = 0.1                    // part of it that a queue may take when they leave for it (ours)
	InitialRequests = 8                      // requests' worth of an unheard node's cap (design)
	mostRequests    = 32                     // requests' worth of the highest cap (design)
	startLatency    = 50 * time.Millisecond  // taken for a request until an answer came (ours)
	meterSpan       = time.Second            // over which a host's part of a volume is smoothed (ours)
	workPull        = 0.02                   // pull of one answer on the relative work of its class (ours)
	housekeepEvery  = 25 * time.Millisecond  // between two looks at all queues (ours)
	sweepEvery      = 5 * time.Second        // between two looks for what can be forgotten (ours)
	answerEarly     = 3 * time.Millisecond   // a final answer leaves so long before it is due (ours)
	holdFirst       = 40 * time.Millisecond  // pause of a node after it turned a request away (ours)
	holdMost        = 2 * time.Second        // longest such pause (ours)
	askFirst        = 250 * time.Millisecond // until the list is asked for again after a failed call (ours)
	askMost         = 6 * askFirst           // longest such pause: news counts as told after 6 s (ours)
	adviceLeast     = 100 * time.Millisecond // least advice to a refused client (ours)
	lostTimes       = 6                      // expected times until what a later one passed seems lost (ours)
	doubtTimes      = 3                      // expected times until what others passed holds no room (ours)
	doubtPassed     = 2                      // and so many of them (ours)
	coldChance      = 0.3                    // of a cold node's part for new objects; twice for its own
	coldDemand      = 2                      // usual demand at a node, in what it does when warm (ours)
	askedSpans      = 6                      // windows of the cold rule over which demand is smoothed (ours)
	leavingSeen     = 0.2                    // share of early leavers from which they set the aim (ours)
	leastWeight     = 0.001                  // taken for a plan without weight (ours)
	answerPull      = 0.1                    // pull of one request on what is learned of clients (ours)
	logEvery        = time.Second            // between two log lines (ours)
)

// Tiers of waiting requests, in the order in which they leave.
const (
	reserved = iota // within the volume's reserve
	shared          // beyond it: by weight, so what exceeds the volume's share leaves last
	tiers
)

// New makes a Scheduler that calls actions. It fails on settings that cannot be used.
func New(settings Settings, seed uint64, actions Actions) (*Scheduler, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	s := &Scheduler{
		set: settings, act: actions, source: source, rand: rand.New(source),
		nodes: map[string]*node{}, volumes: map[string]*volume{}, requests: map[string]*request{},
		timers: map[uint64]*request{}, turns: map[string]*turn{},
		leaving: make([]float64, len(settings.Classes)), patience: make([]float64, len(settings.Classes)),
		givenUp: map[signature]*request{}, shortestAim: settings.Classes[0].LatencyObjective,
		cares: map[careKey]RestrictionLevel{}, budget: retrybudget.New(settings.RetryBudget),
	}
	if settings.ZoneFailover.Enabled() {
		s.view = zonefailover.NewTracker(len(settings.ZoneFailover.Tiers))
		s.spill = zonefailover.NewSpilloverLimiter(settings.ZoneFailover)
	}
	s.set.Sizes.MeanUnits = cmp.Or(s.set.Sizes.MeanUnits, 1)
	s.set.Sizes.MaxUnits = max(s.set.Sizes.MaxUnits, s.set.Sizes.MeanUnits)
	for _, c := range settings.Classes {
		s.work, s.shortestAim = append(s.work, 1), min(s.shortestAim, c.LatencyObjective)
	}
	s.unitTime = startLatency.Seconds() / s.set.Sizes.MeanUnits
	return s, nil
}

// ---- Events ----

// RequestArrived takes a client's request: it gets one final answer before its patience ends.
func (s *Scheduler) RequestArrived(now time.Duration, q Request) {
	s.tick(now)
	if s.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(s.set.Classes) {
		s.act.Fail(q.ID)
		return
	}
	if s.set.Rules.RetryBudgetWindow > 0 {
		s.takenAt = append(s.takenAt, s.now)
	}
	s.sequence++
	r := &request{Request: q, class: &s.set.Classes[q.Class], sequence: s.sequence, luck: s.rand.Float64()}
	r.bound = r.class.RetryPolicy().NarrowedBy(q.RetryPolicy)
	r.volume = s.volumeOf(q)
	r.Units = max(q.Units, 0)
	s.times(r)
	r.volume.silentAt = max(r.volume.silentAt, r.endAt+sweepEvery)
	s.requests[q.ID] = r
	for _, n := range s.byShard[r.Shard] {
		n.asked.add(s.now, askedSpans*s.set.Rules.SlowStartWindow, r.Units)
	}
	s.timers[r.sequence] = r
	s.act.SetTimer(max(0, r.endAt-s.now), r.sequence)
	if r.class.Ordered && r.Key != "" {
		if s.turns[r.Key] == nil {
			s.turns[r.Key] = &turn{}
		}
		s.turns[r.Key].line = append(s.turns[r.Key].line, r)
	}
	if r.endAt <= s.now {
		s.giveUp(r, 0)
	} else {
		s.enqueue(r)
	}
	s.pump()
}

// AttemptEnded takes the outcome of an attempt.
func (s *Scheduler) AttemptEnded(now time.Duration, o Outcome) {
	s.tick(now)
	r := s.requests[o.ID]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.open, func(a *attempt) bool { return a.number == o.Attempt })
	if i < 0 {
		return
	}
	a := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	n := a.node
	n.pending = slices.DeleteFunc(n.pending, func(p *attempt) bool { return p == a })
	if !a.doubted {
		n.out = max(0, n.out-r.Units)
		n.atNode--
	}
	s.spent(a, o.Result)
	s.word(a, o)
	s.judge(a, o)
	s.settleRun(r, a, o.Result)
	if o.Concluded {
		s.finish(r)
	} else if !r.ended && len(r.open) == 0 {
		s.again(r, n, o.Result)
	}
	s.forget(r)
	s.pump()
}

// StreamStarted tells that a stream has started: its time no longer runs out.
func (s *Scheduler) StreamStarted(now time.Duration, id string, _ int) {
	s.tick(now)
	if r := s.requests[id]; r != nil {
		r.began = true
	}
}

// ClientDisconnected tells that the client of a request is gone.
func (s *Scheduler) ClientDisconnected(now time.Duration, id string) {
	s.tick(now)
	if r := s.requests[id]; r != nil && !r.ended {
		stayed := (s.now - r.cameAt).Seconds()
		s.patience[r.Class] += answerPull * (stayed - s.patience[r.Class])
		s.leaving[r.Class] += answerPull
		s.finish(r)
		s.withdraw(r)
		s.forget(r)
	}
	s.pump()
}

// TimerFired tells that a timer set earlier has run out.
func (s *Scheduler) TimerFired(now time.Duration, key uint64) {
	s.tick(now)
	if key == 0 {
		s.housekeep()
		s.act.SetTimer(housekeepEvery, 0)
	} else if r := s.timers[key]; r != nil {
		delete(s.timers, key)
		if !r.ended && !r.began {
			s.giveUp(r, s.advice(r.node))
		}
	}
	s.pump()
}

func (s *Scheduler) tick(now time.Duration) {
	s.now = max(s.now, now)
	if !s.alive {
		s.alive = true
		s.act.SetTimer(housekeepEvery, 0)
		if s.set.PollMembership || s.set.LocalAgent {
			s.act.Watch()
		}
	}
}

// housekeep closes windows that are due and looks at what cannot be answered in time.
func (s *Scheduler) housekeep() {
	for _, n := range s.listed {
		if s.now-n.opened >= windowSpan && (n.answers > 0 || n.atNode > 0) {
			s.closeWindow(n)
		}
		s.retest(n)
		if s.cold(n) && s.now >= n.lotUntil {
			n.lot, n.lotUntil = s.rand.Float64(), s.now+s.set.Rules.SlowStartWindow
		}
		s.withdrawLost(n)
		s.forecast(n)
	}
	s.survey()
	s.look()
	s.rehouse()
	if s.askAgain > 0 && s.now >= s.askAgain {
		s.askAgain = 0
		s.act.Watch()
	}
	if s.now >= s.sweepAt {
		s.sweepAt = s.now + sweepEvery
		s.sweep()
	}
}

// sweep forgets what is over. Its loops over maps only delete, so their order does not matter. A volume goes
// when it has been silent until its store of the limit is full, so that meeting it again regains nothing.
func (s *Scheduler) sweep() {
	s.forgetRecalled()
	maps.DeleteFunc(s.givenUp, func(_ signature, r *request) bool { return s.now >= r.lastAt })
	maps.DeleteFunc(s.turns, func(_ string, t *turn) bool { return len(t.line) == 0 && s.now >= t.restUntil })
	silent := func(v *volume) bool { return s.now >= v.silentAt && v.limit.fill(s.now) >= v.limit.most }
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return silent(v) })
	held := len(s.listed)
	s.listed = slices.DeleteFunc(s.listed, func(n *node) bool {
		for tier := range n.finish {
			maps.DeleteFunc(n.finish[tier], func(v *volume, _ float64) bool { return silent(v) })
		}
		gone := n.Phase == Removed && len(n.pending) == 0 && s.now-n.sentAt > s.set.Rules.SlowStartDuration
		if gone {
			delete(s.nodes, n.ID)
		}
		return gone
	})
	if len(s.listed) != held {
		s.index()
	}
}

// ---- 1. Node cap ----

// observe adds a served attempt to the node's window.
func (s *Scheduler) observe(n *node, r *request, latency time.Duration, l *Load) {
	perUnit := latency.Seconds() / max(r.Units, 1)
	s.unitTime += workPull * (perUnit - s.unitTime)
	s.work[r.Class] += workPull * (perUnit/s.unitTime - s.work[r.Class])
	queue := latency.Seconds() - longWork*s.ownTime(n, r)
	if l != nil && l.Queued >= 1 {
		s.perQueued += answerPull * (max(0, queue)/l.Queued - s.perQueued)
		queue = max(queue, l.Queued*s.perQueued)
	}
	s.queueSeen(n, queue)
	n.served += r.Units
	n.answers++
	n.spent += latency
	n.weight += max(r.Units, 1) * s.work[r.Class] / s.set.Sizes.MeanUnits
	if n.answers >= windowAnswers || s.now-n.opened >= windowSpan {
		s.closeWindow(n)
	}
}

// closeWindow sets the next cap from the window's mean latency and rate.
func (s *Scheduler) closeWindow(n *node) {
	rate := n.served / max(s.now-n.opened, s.set.Tick, time.Millisecond).Seconds()
	if n.answers > 0 || n.atNode > 0 {
		n.maxRate = max(rate, n.maxRate+emaAlpha/10*(rate-n.maxRate))
	}
	if n.answers > 0 {
		s.latencyOf(n, n.spent.Seconds()/n.weight, n.answers)
	}
	n.opened, n.served, n.answers, n.spent, n.weight = s.now, 0, 0, 0, 0
	s.setCap(n)
}

// latencyOf takes a window's mean latency. One window holds few answers of requests of unlike size, so the
// mean is of latency over expected work, and windows are smoothed by their number of answers.
func (s *Scheduler) latencyOf(n *node, seen float64, answers int) {
	switch {
	case n.minLatency == 0:
		n.latency, n.minLatency = seen, min(seen, cmp.Or(s.least, seen))
	case n.drained > 0 && s.now >= n.drained:
		n.latency, n.minLatency, n.drained = seen, min(seen, retestRaise*n.minLatency), 0
	default:
		before := smoothAnswers * math.Exp(-(s.now-n.learnedAt).Seconds()/nodeForget.Seconds())
		n.latency += float64(answers) / (float64(answers) + before) * (seen - n.latency)
		n.minLatency += emaAlpha * min(0, n.latency-n.minLatency)
	}
	n.learnedAt = s.now
}

func (s *Scheduler) setCap(n *node) {
	if n.minLatency == 0 {
		return
	}
	n.cap = n.maxRate * ((2+alpha)*n.minLatency - n.latency)
	if n.drained > 0 {
		n.cap = min(n.cap, n.cutCap)
	}
	n.cap = min(max(n.cap, s.set.Sizes.MaxUnits), mostRequests*s.set.Sizes.MeanUnits)
}

// retest cuts the cap below what is out, now and then: the latency seen once the node's queue has drained
// becomes minLatency.
func (s *Scheduler) retest(n *node) {
	if n.minLatency == 0 || s.now < n.retestAt {
		return
	}
	n.retestAt = s.now + retestEvery
	n.cutCap = retestDepth * n.out
	n.drained = s.now + time.Duration(retestDrain*n.latency*float64(time.Second))
	s.setCap(n)
}

// ---- 2. Queues ----

func (s *Scheduler) volumeOf(q Request) *volume {
	v := s.volumes[q.Volume]
	if v == nil {
		v = &volume{plan: &Plan{Weight: 1, Price: 1}}
		if q.Plan >= 0 && q.Plan < len(s.set.Plans) {
			v.plan = &s.set.Plans[q.Plan]
		}
		hosts := float64(max(q.Hosts, 1))
		v.weight, v.hosts = max(v.plan.Weight, leastWeight), hosts
		rate := v.plan.Reserve / hosts
		v.reserve = store{rate: rate, most: rate + s.set.Sizes.MaxUnits, level: rate, at: s.now}
		// An earlier life of this host may have spent its part of the limit, so a store holds half the even
		// part of burst and slack: the other half covers what one life before this one spent.
		part := (v.plan.Burst + v.plan.Slack) / hosts / 2
		v.limit = store{rate: v.plan.Limit / hosts, most: part, level: part, at: s.now}
		s.recallVolume(q.Volume, v)
		s.volumes[q.Volume] = v
	}
	return v
}

// meter gives this host the part of a volume's reserve that it serves of the volume, in place of the even
// part: clients use their hosts unevenly. Use is what all hosts served lately, as answers tell.
func (s *Scheduler) meter(v *volume, units, use float64) {
	v.own.add(s.now, meterSpan, units)
	if use > 0 && v.plan.Reserve > 0 {
		part := min(max(v.own.level/meterSpan.Seconds()/(use*v.plan.Rate), 1/v.hosts), 1)
		v.reserve.fill(s.now)
		v.reserve.rate = v.plan.Reserve * part
		v.reserve.most = v.reserve.rate + s.set.Sizes.MaxUnits
	}
}

// times sets until when an answer earns the full worth: for a repetition, by the try that was given up. It is
// known by its data and size, and by a patience that ends within the first try's deadline.
func (s *Scheduler) times(r *request) {
	work := r.Units * s.work[r.Class] * s.unitTime // seconds; the aim may grow by a multiple of it
	r.endAt = s.now + r.ClientTimeout - answerEarly
	stretch := time.Duration(r.class.ObjectiveStretch * work * float64(time.Second))
	r.aimAt = min(s.now+r.class.LatencyObjective+stretch, r.endAt)
	if s.leaving[r.Class] > leavingSeen {
		r.aimAt = min(r.aimAt, s.now+time.Duration(s.patience[r.Class]*float64(time.Second)))
	}
	r.cameAt, r.lastAt = s.now, s.now+r.class.Deadline
	if before := s.givenUp[r.signature()]; before != nil && r.endAt <= before.lastAt {
		r.aimAt, r.lastAt = min(r.aimAt, before.aimAt), before.lastAt
		delete(s.givenUp, r.signature())
	}
}

// enqueue puts a request into the queue of the node that may take it with the least expected wait.
func (s *Scheduler) enqueue(r *request) {
	best, wait, refused := s.pick(r)
	if refused {
		s.giveUp(r, max(s.advice(nil), min(wait, s.set.Allowed.MaxRetryAfter)))
		return
	}
	r.node = best
	if best == nil {
		s.homeless = append(s.homeless, r)
		return
	}
	best.waiting = append(best.waiting, r)
	s.forecast(best)
}

// soonest gives the node, of those that may, with the least expected wait, and that; nil where none may.
func (s *Scheduler) soonest(r *request, may func(*node) bool) (best *node, least float64) {
	least = math.Inf(1)
	nodes := s.listed
	if r.Shard != AnyShard {
		nodes = s.byShard[r.Shard]
	}
	for _, n := range nodes {
		if s.mayHold(r, n) && may(n) {
			if c := s.expected(n, r); c < least {
				best, least = n, c
			}
		}
	}
	return best, least
}

// mayHold tells whether the request may wait for the node.
func (s *Scheduler) mayHold(r *request, n *node) bool {
	return n.Phase == Up && (r.Shard == AnyShard || r.Shard == n.Shard) && s.care(r, n) < AvoidNode &&
		s.repeatable(r, n)
}

// expected is the time until the node would have served the request.
func (s *Scheduler) expected(n *node, r *request) float64 {
	ahead := n.out + n.queuedUnits()
	t := (s.queueAt(n) + s.ownTime(n, r)) * (1 + ahead/s.set.Sizes.MeanUnits)
	if s.now < n.holdUntil {
		t += (n.holdUntil - s.now).Seconds()
	}
	if !s.guardCold(r, n) {
		t += s.set.Rules.SlowStartWindow.Seconds()
	}
	return t
}

// ownTime is what the request takes at the node without a queue.
func (s *Scheduler) ownTime(n *node, r *request) float64 {
	least := min(n.latency, n.minLatency)
	if n.minLatency == 0 {
		least = cmp.Or(s.least, s.unitTime*s.set.Sizes.MeanUnits)
	}
	return max(r.Units, 1) * s.work[r.Class] / s.set.Sizes.MeanUnits * least
}

// queueAt is the time that the queue at the node itself takes. What its answers told gives way with age to
// what the other nodes tell; an attempt that is overdue counts as one more answer.
func (s *Scheduler) queueAt(n *node) float64 {
	weight := s.known(n) + poolAnswers
	queue := (s.known(n)*n.queue + poolAnswers*s.elsewhere) / weight
	if late := s.overdue(n); late > queue {
		return (queue*weight + late) / (weight + 1)
	}
	return max(0, queue)
}

// queueSeen takes what an answer told of the node's queue.
func (s *Scheduler) queueSeen(n *node, queue float64) {
	known := s.known(n)
	n.queue, n.known, n.heardAt = (known*n.queue+queue)/(known+1), min(known+1, smoothAnswers), s.now
}

// known is how many answers what the host knows of the node's queue is worth now.
func (s *Scheduler) known(n *node) float64 {
	return n.known * math.Exp(-(s.now-n.heardAt).Seconds()/nodeForget.Seconds())
}

// overdue is the time that the oldest attempt at the node has been out for longer than its work explains.
func (s *Scheduler) overdue(n *node) float64 {
	for _, a := range n.pending {
		if late := s.unanswered(a) - longWork*s.ownTime(n, a.request); late > 0 {
			return late
		}
	}
	return 0
}

// unanswered is for how long an attempt has been out; one that seems lost tells nothing.
func (s *Scheduler) unanswered(a *attempt) float64 {
	if a.passed > 0 || a.given || a.doubted || s.now-a.at > lostAims*s.shortestAim {
		return 0
	}
	return (s.now - a.at).Seconds()
}

// survey takes the medians, over the nodes heard lately, of their queues and unloaded latencies: the prior of
// a rarely heard node. A minority of slow nodes does not move them.
func (s *Scheduler) survey() {
	var queues, least []float64
	for _, n := range s.listed {
		if late := s.overdue(n); n.minLatency > 0 && (late > 0 || s.now-n.heardAt < poolForget) {
			queues, least = append(queues, max(late, n.queue, 0)), append(least, n.minLatency)
		}
	}
	s.elsewhere = median(queues)
	s.least = cmp.Or(median(least), s.least)
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[len(x)/2]
}

// rank sorts the node's queue in the order in which its requests are expected to leave: by tier, then by the
// start tags of their volumes. A volume's own leave by worth per work, then aim; the first are reserved.
func (s *Scheduler) rank(n *node) {
	slices.SortFunc(n.waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(s.density(b), s.density(a)), cmp.Compare(a.aimAt, b.aimAt),
			cmp.Compare(a.sequence, b.sequence))
	})
	ahead := [tiers]map[*volume]float64{{}, {}} // units
	for _, r := range n.waiting {
		r.tier = shared
		if !r.spilt && ahead[reserved][r.volume]+r.Units <= r.volume.reserve.fill(s.now) {
			r.tier = reserved
		}
		r.tag = max(n.virtual[r.tier], n.finish[r.tier][r.volume]) + ahead[r.tier][r.volume]/r.volume.weight
		ahead[r.tier][r.volume] += r.Units
	}
	slices.SortStableFunc(n.waiting, func(a, b *request) int {
		return cmp.Or(a.tier-b.tier, cmp.Compare(a.tag, b.tag), cmp.Compare(a.aimAt, b.aimAt))
	})
}

// density is what a request is worth for the work that it causes.
func (s *Scheduler) density(r *request) float64 { return r.class.PriorityWeight / s.work[r.Class] }

// pump sends what may leave.
func (s *Scheduler) pump() {
	for _, n := range s.listed {
		for i := 0; i < len(n.waiting); {
			r := n.waiting[i]
			if !s.fits(r, n) && s.permitted(r, n) {
				break // what stands first waits for room; others may not overtake it
			}
			if s.send(r, n) {
				n.waiting = slices.Delete(n.waiting, i, i+1)
				s.advance(r, n)
			} else {
				i++
			}
		}
	}
}

// advance moves the tags on by a request that left.
func (s *Scheduler) advance(r *request, n *node) {
	if r.tier == reserved {
		r.volume.reserve.level -= r.Units
	}
	n.virtual[r.tier] = max(n.virtual[r.tier], r.tag)
	n.finish[r.tier][r.volume] = max(r.tag, n.finish[r.tier][r.volume]) + r.Units/r.volume.weight
}

// fits tells whether the node's cap has room. A node with nothing out may always get one request. What is
// beyond its reserve waits here while the node's queue is not short: there it would hold up what is within.
func (s *Scheduler) fits(r *request, n *node) bool {
	return n.atNode == 0 || (n.failures == 0 && n.out+r.Units <= n.cap && !s.crowded(n, r, holdAim))
}

// ---- 3. Admission ----

// forecast walks the node's queue in the order in which it will leave and turns away what cannot be answered
// within its aim. What exceeds a volume's share stands last, so what is worth least goes first.
func (s *Scheduler) forecast(n *node) {
	if len(n.waiting) == 0 {
		return
	}
	s.rank(n)
	rate := s.drainRate(n)
	ahead := n.out
	var late []*request
	drawn := map[*volume]float64{}
	for _, r := range n.waiting {
		wait := max(0, ahead+r.Units-n.cap) / rate
		if n.atNode == 0 && ahead == n.out {
			wait = 0
		}
		if s.now < n.holdUntil {
			wait = max(wait, (n.holdUntil - s.now).Seconds())
		}
		if !r.drew && r.volume.plan.Limit > 0 {
			short := drawn[r.volume] + min(r.Units, r.volume.limit.most) - r.volume.limit.fill(s.now)
			wait = max(wait, short/r.volume.limit.rate)
		}
		if s.tooLate(n, r, wait) || s.stale(r) {
			late = append(late, r)
			continue
		}
		ahead += r.Units
		if !r.drew {
			drawn[r.volume] += r.Units
		}
	}
	for _, r := range late {
		s.giveUp(r, s.advice(n))
	}
}

// drainRate is the rate, in units a second, at which the node's cap lets its queue drain, by Little's law.
func (s *Scheduler) drainRate(n *node) float64 {
	return n.cap / cmp.Or(n.latency, startLatency.Seconds())
}

// tooLate tells whether the request would miss its aim even with some luck or, being beyond the reserve and
// worth less, finds a long queue at the node: others have to pass it.
func (s *Scheduler) tooLate(n *node, r *request, wait float64) bool {
	left := (r.aimAt - s.now).Seconds()
	return wait+luckyTime*(s.queueAt(n)+s.ownTime(n, r)) > left || s.crowded(n, r, sharedAim)
}

// crowded tells whether the queue at the node takes more than a part of the shortest aim, which is for
// requests within their reserve alone.
func (s *Scheduler) crowded(n *node, r *request, part float64) bool {
	return r.tier != reserved && s.queueAt(n) > part*s.briefest()*s.standing(r)
}

// briefest is the shortest time, in seconds, in which clients want an answer.
func (s *Scheduler) briefest() float64 {
	least := s.shortestAim.Seconds()
	for i, leaving := range s.leaving {
		if leaving > leavingSeen {
			least = min(least, s.patience[i])
		}
	}
	return least
}

// standing is the request's worth per work against the densest class.
func (s *Scheduler) standing(r *request) float64 {
	best := 0.0
	for i := range s.set.Classes {
		best = max(best, s.set.Classes[i].PriorityWeight/s.work[i])
	}
	return math.Sqrt(s.density(r) / best)
}

// stale tells whether a request can't go out any more, so that waiting is of no use.
func (s *Scheduler) stale(r *request) bool {
	return s.set.Allowed.MaxAttempts > 0 && r.attempts >= s.set.Allowed.MaxAttempts ||
		r.ranOn != nil && !s.repeatable(r, r.ranOn)
}

// advice is when a refused client should come back: when the queue will have drained, spread a little so
// that clients don't come back together.
func (s *Scheduler) advice(n *node) time.Duration {
	if !s.set.Allowed.RetryAfter {
		return 0
	}
	wait := adviceLeast.Seconds()
	if n != nil {
		wait = max(wait, n.queuedUnits()/s.drainRate(n))
	}
	wait *= (1 + 0.25*s.rand.Float64()) * float64(time.Second)
	return min(time.Duration(wait), s.set.Allowed.MaxRetryAfter)
}

// giveUp ends a request at once: a refusal where a retry is harmless, else a failure.
func (s *Scheduler) giveUp(r *request, advice time.Duration) {
	s.givenUp[r.signature()] = r
	refusable := s.refusable(r)
	s.finish(r)
	if refusable {
		s.act.Reject(r.ID, advice)
	} else {
		s.act.Fail(r.ID)
	}
	s.withdraw(r)
	s.forget(r)
}

// finish marks the end of a request and takes it out of its queue.
func (s *Scheduler) finish(r *request) {
	r.ended = true
	s.leaving[r.Class] -= answerPull * s.leaving[r.Class]
	delete(s.timers, r.sequence)
	same := func(w *request) bool { return w == r }
	if r.node != nil {
		r.node.waiting = slices.DeleteFunc(r.node.waiting, same)
		r.node = nil
	}
	s.homeless = slices.DeleteFunc(s.homeless, same)
}

// withdraw cancels what is still out for an ended request.
func (s *Scheduler) withdraw(r *request) {
	if !s.set.Allowed.Cancel || r.began {
		return
	}
	for _, a := range r.open {
		s.act.Cancel(r.ID, a.number)
	}
}

// forget drops an ended request once all its attempts have outcomes, and lets the next of its key go.
func (s *Scheduler) forget(r *request) {
	if !r.ended || len(r.open) > 0 {
		return
	}
	delete(s.requests, r.ID)
	if t := s.turns[r.Key]; t != nil && r.class.Ordered {
		t.line = slices.DeleteFunc(t.line, func(w *request) bool { return w == r })
	}
}

// ---- 4. Rule guards ----

// send is the only place from which a request goes out: nothing passes the guards by.
func (s *Scheduler) send(r *request, n *node) bool {
	if !s.permitted(r, n) {
		return false
	}
	if !r.drew && r.volume.plan.Limit > 0 {
		r.volume.limit.level -= r.Units
	}
	if r.attempts > 0 && s.set.Rules.RetryBudgetWindow > 0 {
		s.extraAt = append(s.extraAt, s.now)
	}
	r.drew = true
	r.node = nil
	a := &attempt{request: r, number: r.attempts, node: n, at: s.now}
	r.open = append(r.open, a)
	n.pending = append(n.pending, a)
	r.attempts++
	if r.ranOn == nil {
		r.ranOn, r.ranAt, r.ranBy = n, s.now, a.number
	}
	n.out += r.Units
	n.sentAt = s.now
	n.askedAt = cmp.Or(n.askedAt, s.now)
	n.atNode++
	old := func(x sending) bool { return x.at <= s.now-s.set.Rules.SlowStartWindow }
	n.sent = append(slices.DeleteFunc(n.sent, old), sending{s.now, r.Units})
	s.act.Send(r.ID, n.ID, 0)
	return true
}

// permitted asks every guard; a node that turned requests away or could not be reached rests, too.
func (s *Scheduler) permitted(r *request, n *node) bool {
	return s.guardAnswer(r) && s.guardDrain(n) && s.now >= n.holdUntil && s.guardRepeat(r, n) &&
		s.guardOrder(r) && s.guardLimit(r) && s.guardCold(r, n) && s.guardBudget(r)
}

// guardAnswer: nothing goes out for a request that has ended.
func (s *Scheduler) guardAnswer(r *request) bool { return !r.ended && s.now < r.endAt }

// guardDrain: nothing goes to a node once it is known to drain or to be gone.
func (s *Scheduler) guardDrain(n *node) bool { return n.Phase == Up }

// guardRepeat: no effect happens twice.
func (s *Scheduler) guardRepeat(r *request, n *node) bool {
	if len(r.open) > 0 || s.set.Allowed.MaxAttempts > 0 && r.attempts >= s.set.Allowed.MaxAttempts {
		return false
	}
	return s.repeatable(r, n)
}

// repeatable tells whether the class lets the request go to the node after what has been sent before.
func (s *Scheduler) repeatable(r *request, n *node) bool {
	if r.ranOn == nil {
		return true
	}
	if s.doubted(r, r.ranOn) || s.doubted(r, n) {
		return false
	}
	if r.bound.Idempotency == Idempotent {
		return true
	}
	if r.bound.Idempotency == NonIdempotent || s.now >= r.ranAt+r.bound.Window {
		return false
	}
	switch r.bound.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return n.Zone == r.ranOn.Zone
	}
	return n.Shard == r.ranOn.Shard
}

// refusable tells whether a refusal, which calls a retry harmless, is true.
func (s *Scheduler) refusable(r *request) bool {
	return r.ranOn == nil || !s.doubted(r, r.ranOn) && (r.bound.Idempotency == Idempotent ||
		r.bound.Idempotency == IdempotentWithKey && r.bound.Scope == ScopeAll)
}

// settleRun keeps which attempt may have run.
func (s *Scheduler) settleRun(r *request, a *attempt, result Result) {
	switch result {
	case Overloaded, ConnectFailed, NotSent:
		// It was seen to run what it says it has not.
		if result == Overloaded && s.care(r, a.node) >= NoRetries {
			return
		}
		if r.ranBy == a.number { // later attempts may follow in the same instant
			r.ranOn = nil
		}
	case TimedOut, ConnectionReset, Canceled:
		r.mayRun = true
		if t := s.turns[r.Key]; t != nil && r.class.Ordered {
			t.restUntil, t.restFor = s.now+s.set.Rules.OrderedKeyQuietPeriod, r
		}
	}
}

// guardOrder: requests of an ordered key go one at a time, as accepted.
func (s *Scheduler) guardOrder(r *request) bool {
	t := s.turns[r.Key]
	if t == nil || !r.class.Ordered || len(t.line) == 0 {
		return true
	}
	return t.line[0] == r && (t.restFor == r || s.now >= t.restUntil)
}

// guardLimit: a request draws its units at its first attempt, from this host's even part of the limit.
func (s *Scheduler) guardLimit(r *request) bool {
	return r.drew || r.volume.plan.Limit <= 0 ||
		r.volume.limit.fill(s.now) >= min(r.Units, r.volume.limit.most)
}

// guardCold: a node that has started lately gets this host's even part of what a cold node always bears,
// growing along the slowest warming that the rules promise. With many hosts it holds no request; rounded up,
// they would push the node over. Then requests pass by chance, so many that the part is kept in the mean:
// for its data by what this host is asked for, new objects by a lot that it draws once a window.
func (s *Scheduler) guardCold(r *request, n *node) bool {
	if !s.cold(n) {
		return true
	}
	rules := s.set.Rules
	warmed := max(0, s.now-n.coldSince).Seconds() / rules.SlowStartDuration.Seconds()
	grown := rules.SlowStartShare + (1-rules.SlowStartShare)*warmed
	part := rules.SlowStartAllowance / float64(s.set.Siblings) * grown / rules.SlowStartShare
	if used := n.sentSince(s.now - rules.SlowStartWindow); part >= s.set.Sizes.MaxUnits {
		return used+r.Units <= part
	} else if r.Shard == AnyShard {
		return used+(1-n.lot)*r.Units <= coldChance*part
	}
	usual := coldDemand / (rules.SlowStartMultiple * grown) * part
	asked := n.asked.at(s.now, askedSpans*rules.SlowStartWindow) / askedSpans
	return r.luck*max(asked, usual, part) < 2*coldChance*part
}

// cold tells whether the node has started so lately that it may not be warm.
func (s *Scheduler) cold(n *node) bool {
	rules := s.set.Rules
	return rules.SlowStartShare > 0 && n.coldSince > 0 && s.now-n.coldSince < rules.SlowStartDuration
}

// guardBudget: further attempts stay within the budget, where there is one.
func (s *Scheduler) guardBudget(r *request) bool {
	span := s.set.Rules.RetryBudgetWindow
	if r.attempts == 0 || span == 0 {
		return true
	}
	old := func(at time.Duration) bool { return at <= s.now-span }
	s.takenAt = slices.DeleteFunc(s.takenAt, old)
	s.extraAt = slices.DeleteFunc(s.extraAt, old)
	allowed := s.set.Rules.RetryBudgetBase + s.set.Rules.RetryBudgetShare*float64(len(s.takenAt))
	return float64(len(s.extraAt)+1) <= allowed
}

// ---- 5. Health ----

// judge takes what an outcome tells of its node.
func (s *Scheduler) judge(a *attempt, o Outcome) {
	n := a.node
	switch o.Result {
	case Served:
		for _, p := range n.pending {
			if p.at < a.at {
				p.passed++
			}
		}
		if n.down { // it may have started just before
			n.down, n.coldSince = false, max(n.coldSince, a.at)
		}
		n.failures, n.holdUntil = 0, 0
		s.meter(a.request.volume, a.request.Units, o.VolumeUse)
		s.observe(n, a.request, o.Latency, o.Load)
	case Canceled, TimedOut: // what has lasted will last as long again; clients that leave hide long queues
		late := 2*s.unanswered(a) - longWork*s.ownTime(n, a.request)
		s.queueSeen(n, max(n.queue, late))
	case Overloaded, ConnectFailed:
		if s.now >= n.holdUntil {
			n.holdUntil = s.now + min(holdFirst<<min(n.failures, 10), holdMost)
			n.failures++
		}
		if o.Result == ConnectFailed && n.failures > 1 { // one alone may be a full table of connections
			n.down = true
			s.log("node %s cannot be reached: held for %v", n.ID, n.holdUntil-s.now)
		}
	}
}

// again decides on a further attempt.
func (s *Scheduler) again(r *request, n *node, result Result) {
	if result == TimedOut || s.stale(r) || s.now >= r.endAt || result != NotSent && !s.earned(r, n) {
		s.giveUp(r, s.advice(nil))
		return
	}
	s.enqueue(r)
}

// withdrawLost withdraws attempts that will hardly be answered: far over the time expected, with others sent
// later served first. They would hold the cap until their clients give up, so that they hold no room even
// earlier. It guards against any loss on the way and stuck workers. Harm: an attempt with far more work than
// its size tells is done twice.
func (s *Scheduler) withdrawLost(n *node) {
	for _, a := range slices.Clone(n.pending) {
		age := (s.now - a.at).Seconds()
		expected := max(s.queueAt(n)+s.ownTime(n, a.request), n.latency)
		if a.passed >= doubtPassed && age > doubtTimes*expected {
			a.doubt()
		}
		lost := a.passed > 0 && age > lostTimes*expected
		if s.set.Allowed.Cancel && !a.given && !a.request.began && lost {
			a.given = true
			s.log("node %s: no answer for %.0f ms, %d later ones served: withdrawn", n.ID, age*1000, a.passed)
			s.act.Cancel(a.request.ID, a.number)
		}
	}
}

func (s *Scheduler) log(format string, args ...any) {
	if s.loggedAt > 0 && s.now-s.loggedAt < logEvery {
		return
	}
	s.loggedAt = s.now
	s.act.Log(fmt.Sprintf(format, args...))
}

// ---- 6. Membership ----

// MembershipChanged takes news of the list.
func (s *Scheduler) MembershipChanged(now time.Duration, m Membership) {
	s.tick(now)
	if m.Kind == WatchFailed {
		if s.askAgain == 0 { // else it is on its way already
			// All hosts lose discovery at once. Were they to come back in step, it could serve few of them.
			s.askPause = min(max(2*s.askPause, askFirst), askMost)
			s.askAgain = s.now + time.Duration((1+s.rand.Float64())/2*float64(s.askPause))
		}
		if s.set.LocalAgent { // it is on this machine, and what it has counts as told
			s.askAgain = s.now
		}
		return
	}
	if m.Kind != CachedList {
		s.askPause = 0
	}
	present := map[string]bool{}
	for _, e := range m.Nodes {
		present[e.ID] = true
		s.list(e)
	}
	s.index()
	for _, n := range s.listed {
		if m.Kind != DeltaList && !present[n.ID] {
			n.Phase = Removed
		}
		if n.Phase != Up {
			s.homeless = append(s.homeless, n.waiting...)
			n.waiting = nil
		}
	}
	s.rehouse()
	s.pump()
}

func (s *Scheduler) list(e Node) {
	n := s.nodes[e.ID]
	if n == nil {
		n = &node{cap: InitialRequests * s.set.Sizes.MeanUnits, opened: s.now}
		n.finish = [tiers]map[*volume]float64{{}, {}}
		n.retestAt = s.now + time.Duration((0.5+s.rand.Float64())*float64(retestEvery))
		s.nodes[e.ID] = n
		for _, before := range s.byShard[e.Shard] { // it takes their place
			n.asked = before.asked
		}
		s.listed = append(s.listed, n)
		s.recallNode(n, e)
	}
	if e.StartedAt > n.StartedAt {
		n.coldSince = max(n.coldSince, e.StartedAt)
	}
	n.Node = e
}

// rehouse finds nodes for requests that have none.
func (s *Scheduler) rehouse() {
	lost := s.homeless
	s.homeless = nil
	for _, r := range lost {
		if r.ended {
			continue
		}
		if s.now >= r.aimAt || s.stale(r) || s.avoided(r) {
			s.giveUp(r, s.advice(nil))
			continue
		}
		s.enqueue(r)
	}
}
