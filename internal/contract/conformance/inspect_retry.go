package conformance

import (
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/trust"
)

// dedupWindowShare is the part of the described window within which a retry is judged. The window of the node began
// earlier, and its clock may run at another speed.
const dedupWindowShare = 0.8

// checkRetry compares the answers to the same call with the same key, within the time for which the key is known, by
// nodes that know each other's keys.
func (i *Inspector) checkRetry(now time.Duration, c *collector) {
	answer := c.answer
	call := contract.Call{
		Method: answer.Request.Method,
		Host:   answer.Request.Host,
		Path:   answer.Request.URL.EscapedPath(),
		Query:  answer.Request.URL.RawQuery,
		Header: answer.Request.Header,
	}
	key := answer.dedupKey(&call)
	if key == "" {
		return
	}
	name := []byte(answer.Entry.Name)
	id := hashOf(name, []byte(key), []byte(call.Path), []byte(call.Query), answer.Request.Body)
	slot := &i.answers[id%maxAnswers]
	before := *slot
	isRetry := before.call == id && answer.sharesKeysWith(&before, now)
	if isRetry && answer.succeeded() {
		c.checkDiscarded(&before)
	}
	switch {
	case answer.succeeded() && (!isRetry || before.rejected): // A retry does not renew the key's window.
		*slot = rememberedAnswer{
			call:   id,
			body:   hashOf(answer.Body),
			shard:  answer.Shard,
			node:   answer.Node,
			status: answer.Status,
			at:     now,
		}
	case answer.rejected() && !isRetry:
		*slot = rememberedAnswer{
			call:     id,
			shard:    answer.Shard,
			node:     answer.Node,
			at:       now,
			rejected: true,
		}
	case !answer.rejected() && !answer.succeeded() && before.call == id:
		*slot = rememberedAnswer{} // The call may have run, so later answers say nothing.
	}
}

// dedupKey returns the key by which the node knows the call; empty if the call has none. A key in the path makes it the
// same call already.
func (a *Answer) dedupKey(call *contract.Call) string {
	at := a.Entry.Operation.Key
	if at.In == "path" {
		return "path"
	}
	return a.Entry.Operation.Value(call, nil, at)
}

// sharesKeysWith reports whether the node still knows the key of an earlier answer.
func (a *Answer) sharesKeysWith(before *rememberedAnswer, now time.Duration) bool {
	operation := a.Entry.Operation
	if float64(now-before.at) >= dedupWindowShare*float64(operation.DedupWindow) {
		return false
	}
	sameShard := operation.DedupScope == contract.ScopeShard && a.Shard >= 0 && before.shard == a.Shard
	return before.node == a.Node || sameShard
}

// checkDiscarded checks that the answer to a retry is that of a discarded one: marked by the described header or, if
// there is none, equal to the first. If the first was rejected, the node can't know the key.
func (c *collector) checkDiscarded(before *rememberedAnswer) {
	answer := c.answer
	header := answer.Entry.Operation.DedupHeader
	marked := header != "" && answer.Header.Get(header) != ""
	switch {
	case before.rejected && marked:
		const format = "%s tells of a repeat, and the only attempt before was said not to have run"
		c.add(trust.KeyKnownAfterDenial, format, header)
	case before.rejected:
	case header != "" && !marked:
		c.add(trust.RepeatExecuted, "the answer to a repeat with the same key lacks %s", header)
	case header == "" && (before.body != hashOf(answer.Body) || before.status != answer.Status):
		c.add(trust.RepeatExecuted, "the answer to a repeat with the same key is not that to the first")
	}
}
