package gateway

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"reachpulley/internal/scenario"
)

// h2 plays a script before a gateway with HTTP/2, whose client "tablet" sends what its control lines say.
func h2(t *testing.T, script string, requests map[string]func(do func(method, path string, header ...string) string)) {
	play(t, script, nil, nodeHTTP, func(s *scenario.Stage) {
		c := &http.Client{Transport: &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, _ string, _ *tls.Config) (net.Conn, error) {
			return s.Network.Dial(ctx, network, "h2:1")
		}}}
		do := func(method, target string, header ...string) string {
			r, err := http.NewRequest(method, "http://gate"+target, strings.NewReader("hello"))
			if err != nil {
				t.Error(err)
			}
			for i := 0; i < len(header); i += 2 {
				r.Header.Set(header[i], header[i+1])
			}
			resp, err := c.Do(r)
			if err != nil {
				return err.Error()
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			return resp.Status + " " + resp.Header.Get("Retry-After") + string(body)
		}
		for name, run := range requests {
			s.Control("tablet", name, func() { go run(do) })
		}
		s.Control("tablet", "bye", c.CloseIdleConnections)
	})
}

// What the first front promises holds over HTTP/2, too: it is the same core.
func TestHTTP2Front(t *testing.T) {
	answers := make(chan string, 10)
	say := func(method, target string, header ...string) func(func(string, string, ...string) string) {
		return func(do func(string, string, ...string) string) { answers <- do(method, target, header...) }
	}
	platform := []string{"X-Qos-Policy", "gold", "X-Deadline", "480m", "X-Placement", "units=2,shard=0,hosts=1", "X-Class"}
	with := func(more ...string) []string { return append(append([]string(nil), platform...), more...) }
	requests := map[string]func(func(string, string, ...string) string){
		"write": say("PUT", path, with("write", "X-Request-Id", "r1", "Idempotency-Key", "k")...),
		"once":  say("PUT", path, with("once", "X-Request-Id", "r2")...),
		"fault": say("PUT", path, with("none", "X-Request-Id", "r3")...),
	}
	for name, c := range map[string]struct{ script, want string }{
		"a request is passed on and its answer comes back": {`
			tablet send write
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k hello
			node send 200 stored`, "200 OK stored"},
		// The write may have run, and its class allows no second time.
		"a lost answer is not asked for again beyond its class": {`
			tablet send once
			node expect PUT ` + path + ` X-Request-Id=r2 hello
			node close
			wait 1s
			node expect nothing`, "502 Bad Gateway "},
		"a fault is told": {`
			tablet send fault
			node expect nothing`, "400 Bad Request X-Class: unknown class \"none\"\n"},
		"a planned stop answers what was taken": {`
			tablet send write
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k hello
			gateway send stop
			wait 300ms
			node send 200 stored`, "200 OK stored"},
	} {
		t.Run(name, func(t *testing.T) {
			h2(t, c.script+"\nwait 10ms\ntablet send bye", requests)
			if got := <-answers; got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
