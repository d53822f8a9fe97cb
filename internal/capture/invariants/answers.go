package invariants

import "time"

// answerTolerance is the time by which an answer may come after the client timeout. The timer that leads to the answer
// and the event after it are recorded one after the other, not at the same time.
const answerTolerance = 100 * time.Millisecond

// answer checks that a request gets only one answer, and in time, and notes the answer; how says which one it is.
func (c *Checker) answer(r *request, how string) {
	late := c.now - r.arrivedAt - r.ClientTimeout
	inTime := late <= answerTolerance || r.streamStarted || r.overdue
	c.check(RuleOneAnswer, !r.answered, r.ID, "", "%s, but the request was already answered", how)
	c.check(RuleOneAnswer, inTime, r.ID, "", "%s %v after the client timeout", how, late)
	r.answered = true
	r.answeredAt = c.now
}

// checkOverdue reports a request that has no answer after its client timeout. It reports each request only once.
func (c *Checker) checkOverdue(r *request) {
	late := c.now - r.arrivedAt - r.ClientTimeout
	if r.answered || r.overdue || r.streamStarted || late <= answerTolerance {
		return
	}
	r.overdue = true
	c.report(RuleOneAnswer, r.ID, "", "no answer %v after the client timeout", late)
}
