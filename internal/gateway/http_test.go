package gateway

import (
	"strings"
	"testing"
)

var httpScenarios = map[string]string{
	"a request is forwarded and its response comes back": `
		client send ` + putRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 Idempotency-Key=k hello
		node send 200 stored
		client expect 200 stored`,
	"a request that a node rejects without running it is retried": `
		client send ` + putRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 Idempotency-Key=k hello
		node send 503 X-Not-Run=1
		wait 100ms
		node expect PUT ` + objectPath + ` X-Request-Id=r1 Idempotency-Key=k hello
		node send 200 stored
		client expect 200 stored`,
	// The connection ends after the last byte of the request, so the write may have run.
	"a non-idempotent request whose response is lost is not retried": `
		client send ` + onceRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 hello
		node close
		client expect 502
		node expect nothing`,
	// Without X-Not-Run in the response, the node may have begun the work.
	"a 503 without X-Not-Run does not allow a retry": `
		client send ` + onceRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 hello
		node send 503
		client expect 502
		node expect nothing`,
	// http.Transport would repeat a GET by itself when a reused connection breaks, which no retry limit would count.
	"a GET on a reused connection that breaks is not retried without the scheduler": `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		node send 200 one
		client expect 200 one
		wait 50ms
		client send ` + strings.Replace(onceRequest, "PUT", "GET", 1) + `r2
		node expect GET ` + objectPath + ` X-Request-Id=r2
		node close
		client expect 502
		wait 1s
		node expect nothing`,
	"a request with an idempotency key is not retried if its class is non-idempotent": `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		node send 200 one
		client expect 200 one
		client send ` + onceRequest + `r2 Idempotency-Key=k hello
		node expect PUT ` + objectPath + ` X-Request-Id=r2 Idempotency-Key=k hello
		node close
		client expect 502
		wait 1s
		node expect nothing`,
	"a request with an idempotency key is retried once if its class allows it": `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		node send 200 one
		client expect 200 one
		client send ` + putRequest + `r2 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r2 Idempotency-Key=k hello
		node close
		node expect PUT ` + objectPath + ` X-Request-Id=r2 Idempotency-Key=k hello
		node send 200 stored
		client expect 200 stored
		node expect nothing`,
	// No part of a response may reach the client before it is complete: another node may still have to provide it.
	"an incomplete response is not passed on": `
		client send ` + onceRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 hello
		node send raw HTTP/1.1 200 OK\nContent-Length: 10\n\nhalf
		client expect nothing
		node close
		client expect 502`,
	"a silent node fails the request at its deadline": `
		client send ` + onceRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 hello
		wait 476ms
		client expect nothing
		wait 2ms
		client expect 502
		node expect end`,
	"a client that disconnects ends its attempt": `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		client close
		node expect end`,
	"a draining node receives nothing new and still responds": `
		` + watchRequest + `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		` + watchResponse + hostList(2, false, "n draining") + `\n
		other send ` + getRequest + `r2
		wait 250ms
		node expect nothing
		node send 200 one
		client expect 200 one
		wait 500ms
		node expect nothing`,
	"an idle connection is closed well before the node would close it": `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		node send 200 one
		client expect 200 one
		wait 7s
		node expect nothing
		wait 2s
		node expect end`,
}

func TestHTTPFrontend(t *testing.T) {
	for name, script := range httpScenarios {
		t.Run(name, func(t *testing.T) { scenario{script: script, node: httpNode}.play(t) })
	}
}

func TestHTTPFrontendRejectsFaultyRequests(t *testing.T) {
	withoutClass := "GET " + objectRequest + " X-Class="
	for _, test := range []struct{ name, request, fault string }{
		{"no id", "GET " + objectRequest + " X-Class=read", "X-Request-Id is missing"},
		{"an unknown class", withoutClass + "none X-Request-Id=r1", `X-Class: unknown class "none"`},
		{"an unknown plan", changedRequest(getRequest, "gold", "tin"), `X-Qos-Policy: unknown plan "tin"`},
		{
			"a path of one part", changedRequest(getRequest, objectPath, "/7f3a9c21e0b4d655"),
			"path: want a volume and a piece of data, 16 hex digits each",
		},
		{
			"a volume by name", changedRequest(getRequest, "00000003b4d60021", "mine"),
			"path: want a volume and a piece of data, 16 hex digits each",
		},
		{
			"no deadline", changedRequest(getRequest, "X-Deadline=480m", ""),
			`X-Deadline: "" is not a time such as 480m or 480000u`,
		},
		{
			"a deadline in hours", changedRequest(getRequest, "480m", "4h"),
			`X-Deadline: "4h" is not a time such as 480m or 480000u`,
		},
		{
			"a deadline of NaN", changedRequest(getRequest, "480m", "NaNm"),
			`X-Deadline: "NaNm" is not a time such as 480m or 480000u`,
		},
		{"no units", changedRequest(getRequest, "units=2,", ""), "X-Placement: units is missing"},
		{
			"a shard that is not a whole number", changedRequest(getRequest, "shard=0", "shard=0.5"),
			`X-Placement: "units=2,shard=0.5,hosts=1" makes no sense`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario{
				script: `
					client send ` + test.request + `
					wait 1ms
					client expect 400 ` + test.fault + `
					node expect nothing`,
				node: httpNode,
			}.play(t)
		})
	}
	scenario{
		script: `
			client send ` + putRequest + `r1 ` + strings.Repeat("x", 64<<10+1) + `
			client expect 413 Connection=close the body is longer than 65536 bytes
			node expect nothing
			other send GET /ready
			other expect 200`,
		node: httpNode,
	}.play(t)
}

// changedRequest replaces a part of a request and appends the request ID.
func changedRequest(request, part, by string) string {
	return strings.Replace(request, part, by, 1) + "r1"
}

func TestPlannedStop(t *testing.T) {
	scenario{
		script: `
			client send ` + getRequest + `r1
			node expect GET ` + objectPath + ` X-Request-Id=r1
			gateway send stop
			wait 300ms
			node send 200 one
			client expect 200 Connection=close one
			client expect end
			# clients learn of the stop later: until then requests are served, over new connections too
			other send ` + onceRequest + `r2 late
			node expect PUT ` + objectPath + ` X-Request-Id=r2 late
			wait 400ms
			node send 200 two
			other expect 200 Connection=close two
			other expect end`,
		node: httpNode,
	}.play(t)
}

// No node can serve a request that came as HTTP if the nodes speak iSCSI: it is rejected at its deadline.
func TestHTTPFrontendRejectsRequestsForISCSINodes(t *testing.T) {
	playISCSI(t, `
		client send `+onceRequest+`r1 hello
		wait 479ms
		node expect nothing
		client expect 503 Retry-After=0.101`)
}
