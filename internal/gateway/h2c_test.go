package gateway

import (
	"testing"

	"reachpulley/internal/scenariotest"
)

// Requests of HTTP/2 clients, up to the request ID, which each scenario adds.
const (
	h2Get  = "GET " + objectRequest + " x-class=read x-request-id="
	h2Put  = "PUT " + objectRequest + " x-class=write x-request-id="
	h2Once = "PUT " + objectRequest + " x-class=once x-request-id="
)

// h2Scenarios are the scripts of TestHTTP2Frontend, by name. Their client tablet speaks HTTP/2; other speaks HTTP/1.1.
var h2Scenarios = map[string]string{
	"a request is forwarded and its response comes back": `
		tablet send headers 1 ` + h2Put + `r1 idempotency-key=k content-length=5
		node expect nothing
		tablet send data 1 end hello
		node expect PUT ` + objectPath + ` X-Request-Id=r1 Idempotency-Key=k hello
		node send 200 stored
		tablet expect headers 1 200
		tablet expect data 1 end stored`,
	"a request is answered although an earlier one on its connection is still pending": `
		tablet send headers 1 end ` + h2Get + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		tablet send headers 3 end ` + h2Get + `r2
		node expect GET ` + objectPath + ` X-Request-Id=r2
		node send 200 two
		tablet expect headers 3 200
		tablet expect data 3 end two`,
	// The write may have run at the node.
	"a non-idempotent request whose response is lost is not retried": `
		tablet send headers 1 end ` + h2Once + `r1
		node expect PUT ` + objectPath + ` X-Request-Id=r1
		node close
		tablet expect headers 1 end 502
		wait 1s
		node expect nothing`,
	// The write is at the node when its client resets the stream.
	"a reset of a stream ends the attempt, and the write is never retried": `
		tablet send headers 1 end ` + h2Put + `r1 idempotency-key=k
		node expect PUT ` + objectPath + ` X-Request-Id=r1 Idempotency-Key=k
		tablet send rst 1 CANCEL
		node expect end
		wait 3s
		node expect nothing
		tablet expect nothing
		tablet send headers 3 end ` + h2Get + `r2
		node expect GET ` + objectPath + ` X-Request-Id=r2
		node send 200 two
		tablet expect headers 3 200
		tablet expect data 3 end two`,
	"a client that disconnects ends its attempts": `
		tablet send headers 1 end ` + h2Get + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		tablet close
		node expect end`,
	"a rejection carries Retry-After": `
		` + watchRequest + watchResponse + hostList(2, false, "n draining") + `\n
		tablet send headers 1 end ` + h2Get + `r1
		wait 480ms
		tablet expect headers 1 end 503 retry-after=0.101
		node expect nothing`,
	"a faulty request is rejected with the reason": `
		tablet send headers 1 end ` + "GET " + objectRequest + " x-class=none x-request-id=" + `r1
		tablet expect headers 1 400
		tablet expect data 1 end X-Class: unknown class "none"
		node expect nothing`,
	"a planned stop answers a request that crossed the first GOAWAY, and ends after the second": `
		tablet send ping
		tablet expect ping
		gateway send stop
		tablet expect goaway 2147483647 NO_ERROR
		wait 100ms
		tablet send headers 1 end ` + h2Get + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		wait 200ms
		node send 200 one
		tablet expect headers 1 200
		tablet expect data 1 end one
		wait 500ms
		tablet expect goaway 1 NO_ERROR
		tablet expect end`,
	"an exhausted flow-control window holds back only its own response": `
		tablet send settings window=0
		tablet send headers 1 end ` + h2Get + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		node send 200 one
		tablet expect headers 1 200
		other send ` + getRequest + `r2
		node expect GET ` + objectPath + ` X-Request-Id=r2
		node send 200 two
		other expect 200 two
		tablet send window 1 3
		tablet expect data 1 end one`,
}

// The guarantees of the frontend for HTTP/1.1 apply over HTTP/2 too.
func TestHTTP2Frontend(t *testing.T) {
	for name, script := range h2Scenarios {
		t.Run(name, func(t *testing.T) {
			scenario{
				script: "tablet send preface\n" + script,
				node:   httpNode,
				prepare: func(testbed *scenariotest.Scenario) {
					testbed.Client("tablet", "h2:1", &scenariotest.HTTP2{VisibleFields: []string{"retry-after"}})
				},
			}.play(t)
		})
	}
}
