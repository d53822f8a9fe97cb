package conformance

import (
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/trust"
)

// dedupWindowShare is the fraction of the described deduplication window within which retries are checked. It is less
// than 1 because the window of the node began earlier and its clock may run at another speed.
const dedupWindowShare = 0.8

// checkRetry compares the responses to the same call with the same key, while nodes still remember the key. It compares
// only responses of the same node or of nodes that share their keys.
func (i *Inspector) checkRetry(now time.Duration, c *evidenceCollector) {
	response := c.response
	call := contract.Call{
		Method: response.Request.Method,
		Host:   response.Request.Host,
		Path:   response.Request.URL.EscapedPath(),
		Query:  response.Request.URL.RawQuery,
		Header: response.Request.Header,
	}
	key := response.dedupKey(&call)
	if key == "" {
		return
	}
	name := []byte(response.Entry.Name)
	id := hashOf(name, []byte(key), []byte(call.Path), []byte(call.Query), response.Request.Body.Bytes())
	slot := &i.responses[id%maxResponses]
	before := *slot
	isRetry := before.call == id && response.sharesKeysWith(&before, now)
	if isRetry && response.succeeded() {
		c.checkDiscarded(&before)
	}
	switch {
	case response.succeeded() && (!isRetry || before.rejected): // A retry does not renew the window of the key.
		*slot = rememberedResponse{
			call:   id,
			body:   hashOf(response.Body),
			shard:  response.Shard,
			node:   response.Node,
			status: response.Status,
			at:     now,
		}
	case response.rejected() && !isRetry:
		*slot = rememberedResponse{
			call:     id,
			shard:    response.Shard,
			node:     response.Node,
			at:       now,
			rejected: true,
		}
	case !response.rejected() && !response.succeeded() && before.call == id:
		*slot = rememberedResponse{} // The call may have run, so nothing follows from later responses.
	}
}

// dedupKey returns the key by which nodes recognize a retry of the call; empty if the call has none. For a key in the
// path it returns a constant, because the path is compared anyway.
func (r *Response) dedupKey(call *contract.Call) string {
	at := r.Entry.Operation.Key
	if at.In == "path" {
		return "path"
	}
	return r.Entry.Operation.Value(call, nil, at)
}

// sharesKeysWith reports whether the node of the response should still remember the key of an earlier response: it is
// the same node or, if the nodes of a shard share their keys, one of the same shard; and dedupWindowShare of the window
// has not passed yet.
func (r *Response) sharesKeysWith(before *rememberedResponse, now time.Duration) bool {
	operation := r.Entry.Operation
	if float64(now-before.at) >= dedupWindowShare*float64(operation.DedupWindow) {
		return false
	}
	sameShard := operation.DedupScope == contract.ScopeShard && r.Shard >= 0 && before.shard == r.Shard
	return before.node == r.Node || sameShard
}

// checkDiscarded checks that the node discarded a retry. Its response must have the described header or, if none is
// described, equal the first response. If the first attempt was rejected, no node can know the key yet.
func (c *evidenceCollector) checkDiscarded(before *rememberedResponse) {
	response := c.response
	header := response.Entry.Operation.DedupHeader
	marked := header != "" && response.Header.Get(header) != ""
	switch {
	case before.rejected && marked:
		const format = "%s tells of a repeat, and the only attempt before was said not to have run"
		c.add(trust.KeyKnownAfterDenial, format, header)
	case before.rejected:
	case header != "" && !marked:
		c.add(trust.RepeatExecuted, "the answer to a repeat with the same key lacks %s", header)
	case header == "" && (before.body != hashOf(response.Body) || before.status != response.Status):
		c.add(trust.RepeatExecuted, "the answer to a repeat with the same key is not that to the first")
	}
}
