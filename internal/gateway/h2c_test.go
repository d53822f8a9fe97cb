package gateway

import (
	"strings"
	"testing"

	"reachpulley/internal/scenariotest"
)

// h2 is what a tablet sends, up to its own part.
func h2(method, class string) string {
	return method + " " + facts + " x-class=" + class + " x-request-id="
}

// What the first front promises holds over HTTP/2, too: it is the same core.
func TestHTTP2Front(t *testing.T) {
	get, put, once := h2("GET", "read"), h2("PUT", "write"), h2("PUT", "once")
	for name, script := range map[string]string{
		"a request is passed on and its answer comes back": `
			tablet send headers 1 ` + put + `r1 idempotency-key=k content-length=5
			node expect nothing
			tablet send data 1 end hello
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k hello
			node send 200 stored
			tablet expect headers 1 200
			tablet expect data 1 end stored`,
		"many requests at once, answered as they are ready": `
			tablet send headers 1 end ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			tablet send headers 3 end ` + get + `r2
			node expect GET ` + path + ` X-Request-Id=r2
			node send 200 two
			tablet expect headers 3 200
			tablet expect data 3 end two`,
		// The write may have run, and its class allows no second time.
		"a lost answer is not asked for again beyond its class": `
			tablet send headers 1 end ` + once + `r1
			node expect PUT ` + path + ` X-Request-Id=r1
			node close
			tablet expect headers 1 end 502
			wait 1s
			node expect nothing`,
		// The operators' hard case: the write is at the node as its client resets it.
		"a reset takes the attempt along, and the write is never sent again": `
			tablet send headers 1 end ` + put + `r1 idempotency-key=k
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k
			tablet send rst 1 CANCEL
			node expect end
			wait 3s
			node expect nothing
			tablet expect nothing
			tablet send headers 3 end ` + get + `r2
			node expect GET ` + path + ` X-Request-Id=r2
			node send 200 two
			tablet expect headers 3 200
			tablet expect data 3 end two`,
		"a client that leaves takes its attempts along": `
			tablet send headers 1 end ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			tablet close
			node expect end`,
		"a refusal tells when to return": `
			` + watch + drains + hosts(2, false, "n draining") + `\n
			tablet send headers 1 end ` + get + `r1
			wait 480ms
			tablet expect headers 1 end 503 retry-after=0.101
			node expect nothing`,
		"a fault is told": `
			tablet send headers 1 end ` + h2("GET", "none") + `r1
			tablet expect headers 1 400
			tablet expect data 1 end X-Class: unknown class "none"
			node expect nothing`,
		"a planned stop answers what crossed the first notice, and ends after the second": `
			tablet send ping
			tablet expect ping
			gateway send stop
			tablet expect goaway 2147483647 NO_ERROR
			wait 100ms
			tablet send headers 1 end ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			wait 200ms
			node send 200 one
			tablet expect headers 1 200
			tablet expect data 1 end one
			wait 500ms
			tablet expect goaway 1 NO_ERROR
			tablet expect end`,
		"a window that is shut holds its own answer alone": `
			tablet send settings window=0
			tablet send headers 1 end ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			node send 200 one
			tablet expect headers 1 200
			other send ` + strings.ReplaceAll(strings.ReplaceAll(get, "x-class", "X-Class"), "x-request-id", "X-Request-Id") + `r2
			node expect GET ` + path + ` X-Request-Id=r2
			node send 200 two
			other expect 200 two
			tablet send window 1 3
			tablet expect data 1 end one`,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, "tablet send preface\n"+script, nil, nodeHTTP, func(s *scenariotest.Stage) {
				s.Client("tablet", "h2:1", &scenariotest.H2{Shows: []string{"retry-after"}})
			})
		})
	}
}
