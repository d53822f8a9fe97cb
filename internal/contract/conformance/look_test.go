package conformance

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

const described = `
openapi: 3.1.0
info: {title: t, version: "1"}
paths:
  /s/{x}:
    get:
      x-contract: {repeats: safe, same_for: 1s, takes: 100ms, statuses: {"503": refused}}
      parameters: [{name: x, in: path, required: true, schema: {type: string}}]
      responses: {"200": {description: it, content: {application/json: {schema: {type: object, required: [hours], properties: {hours: {type: [number, "null"]}}}}}}, "4XX": {description: no}}
    put:
      x-contract: {repeats: keyed, key: {in: header, name: K, for: 10s, told: X-Repeated}, statuses: {"503": refused}}
      parameters: [{name: x, in: path, required: true, schema: {type: string}}]
      responses: {"201": {description: stored}, "503": {description: busy}}
    post:
      x-contract: {repeats: keyed, key: {in: query, name: k, for: 10s}}
      parameters: [{name: x, in: path, required: true, schema: {type: string}}]
      responses: {"201": {description: stored}}
`

func bookOf(t testing.TB, text string) *catalog.Catalog {
	t.Helper()
	all, faults := contract.Parse("d.yaml", []byte(text))
	if len(faults) == 0 {
		faults, _ = contract.Check(all)
	}
	var b *catalog.Catalog
	if len(faults) == 0 {
		b, faults = catalog.New(all, scheduler.Settings{Classes: []scheduler.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Minute}}})
	}
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return b
}

// seen words an answer: "500ms n1 PUT /s/1?k=1 K=7 -> 201 X-Repeated=1 body".
func seen(t testing.TB, b *catalog.Catalog, words string) (time.Duration, *Seen) {
	t.Helper()
	asked, answer, _ := strings.Cut(words, " -> ")
	parts := strings.Fields(asked)
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		t.Fatal(err)
	}
	u, err := url.Parse(parts[3])
	if err != nil {
		t.Fatal(err)
	}
	header := func(words []string) (http.Header, string) {
		h, body := http.Header{}, ""
		for _, w := range words {
			if name, value, ok := strings.Cut(w, "="); ok && name[0] >= 'A' && name[0] <= 'Z' {
				h.Add(name, value)
			} else {
				body = w
			}
		}
		return h, body
	}
	h, body := header(parts[4:])
	r := &httpmsg.Request{Method: parts[2], URL: u, Header: h, Body: []byte(body), Client: "10.0.0.1"}
	e, _ := b.Lookup(&contract.Call{Method: r.Method, Path: u.Path, Query: u.RawQuery, Header: h}, nil)
	if e.Operation == nil {
		t.Fatalf("%s: nothing describes it", words)
	}
	s := &Seen{Entry: e, Request: r, Volume: "v", Node: parts[1], Took: 10 * time.Millisecond, Schema: true}
	if strings.HasPrefix(parts[1], "slow") {
		s.Took = time.Second
	}
	back := strings.Fields(answer)
	fmt.Sscan(back[0], &s.Status)
	var text string
	s.Header, text = header(back[1:])
	s.Body = []byte(text)
	return time.Hour + at, s
}

// What each answer tells, after the ones before it.
func TestLook(t *testing.T) {
	b := bookOf(t, described)
	for name, lines := range map[string][]string{
		"as described":                 {`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":7} : fits`, `0s n GET /s/2 -> 404 : fits`, `0s n GET /s/1 -> 500 : fits`},
		"a status nobody described":    {`0s n GET /s/1 -> 302 : status-unknown`, `0s n PUT /s/1 K=1 -> 200 : status-unknown`},
		"a status that is given a use": {`0s n GET /s/1 -> 503 : fits`},
		"turned away unrun":            {`0s n POST /s/1?k=1 -> 504 X-Not-Run=1 : fits`},
		"another type":                 {`0s n GET /s/1 -> 200 Content-Type=text/html <p> : type-unknown`, `5s n GET /s/1 -> 200 x : type-unknown`},
		"a body that breaks its schema, of 3.1": {`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":null} : fits`,
			`2s n GET /s/1 -> 200 Content-Type=application/json;charset=utf-8 {"hours":"7"} : schema-broken`, `4s n GET /s/1 -> 200 Content-Type=application/json {} : schema-broken`,
			`6s n GET /s/1 -> 200 Content-Type=application/json { : schema-broken`},
		"slower than described":                          {`0s slow GET /s/1 -> 404 : slow`},
		"an effect beside 'not run'":                     {`0s n PUT /s/1 K=1 -> 201 X-Not-Run=1 : not-run-ran`},
		"a safe call creates":                            {`0s n GET /s/1 -> 201 : safe-created status-unknown`},
		"a keyed repeat is discarded":                    {`0s n PUT /s/1 K=1 a -> 201 : fits`, `1s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : fits`},
		"a keyed repeat runs again":                      {`0s n PUT /s/1 K=1 a -> 201 : fits`, `1s n PUT /s/1 K=1 a -> 201 : repeat-ran`},
		"another body is another call, whatever its key": {`0s n PUT /s/1 K=1 a -> 201 : fits`, `1s n PUT /s/1 K=1 b -> 201 : fits`},
		"another key":                                    {`0s n PUT /s/1 K=1 a -> 201 : fits`, `1s n PUT /s/1 K=2 a -> 201 : fits`},
		"the key's time is nearly over":                  {`0s n PUT /s/1 K=1 a -> 201 : fits`, `8100ms n PUT /s/1 K=1 a -> 201 : fits`},
		"a repeat does not renew it":                     {`0s n PUT /s/1 K=1 a -> 201 : fits`, `6s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : fits`, `9s n PUT /s/1 K=1 a -> 201 : fits`},
		"another node knows no key":                      {`0s n PUT /s/1 K=1 a -> 201 : fits`, `1s m PUT /s/1 K=1 a -> 201 : repeat-ran`},
		"it knew what it had not run":                    {`0s n PUT /s/1 K=1 a -> 503 : fits`, `1s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : not-run-known`},
		"it runs after it had not":                       {`0s n PUT /s/1 K=1 a -> 503 : fits`, `1s n PUT /s/1 K=1 a -> 201 : fits`, `2s n PUT /s/1 K=1 a -> 201 : repeat-ran`},
		"after an error nothing is known":                {`0s n PUT /s/1 K=1 a -> 503 : fits`, `1s n PUT /s/1 K=1 a -> 500 : fits`, `2s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : fits`},
		"a repeat has another answer":                    {`0s n POST /s/1?k=1 a -> 201 one : fits`, `1s n POST /s/1?k=1 a -> 201 one : fits`, `2s n POST /s/1?k=1 a -> 201 two : repeat-ran`},
		"two answers to a safe call":                     {`0s n GET /s/1 Accept=x -> 404 : fits`, `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`, `900ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : repeat-differs`},
		"later it may have changed":                      {`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`, `1100ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : fits`},
		"it was written between":                         {`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`, `1ms n PUT /s/9 K=1 -> 500 : fits`, `9ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : fits`},
		"it was written just before":                     {`0s n PUT /s/9 K=1 -> 500 : fits`, `1ms n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`, `9ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : fits`},
		"it depends on the client":                       {`0s n GET /s/1 Accept=a -> 200 Content-Type=application/json {"hours":1} : fits`, `1ms n GET /s/1 Accept=b -> 200 Content-Type=application/json {"hours":2} : fits`},
		"it depends on what is unknown":                  {`0s n GET /s/1 -> 200 Content-Type=application/json Vary=X-Mood {"hours":1} : fits`, `1ms n GET /s/1 -> 200 Content-Type=application/json Vary=X-Mood {"hours":2} : fits`},
		"one validator, two answers":                     {`0s n GET /s/1 -> 200 Content-Type=application/json ETag="a" {"hours":1} : fits`, `5s m GET /s/1 -> 200 Content-Type=application/json ETag="a" {"hours":2} : repeat-differs`},
		"a weak validator":                               {`0s n GET /s/1 -> 200 Content-Type=application/json ETag=W/"a" {"hours":1} : fits`, `5s m GET /s/1 -> 200 Content-Type=application/json ETag=W/"a" {"hours":2} : fits`},
		"it refuses after its time":                      {`0s n GET /s/1 -> 503 Retry-After=2 : fits`, `1s n GET /s/1 -> 503 Retry-After=2 : fits`, `4s n GET /s/1 -> 503 : retry-after-hollow`},
		"it takes calls after its time":                  {`0s n GET /s/1 -> 503 Retry-After=2 : fits`, `3s n GET /s/1 -> 404 : fits`, `4s n GET /s/1 -> 503 : fits`},
		"much later it may be full again":                {`0s n GET /s/1 -> 503 Retry-After=2 : fits`, `30s n GET /s/1 -> 503 : fits`},
	} {
		l := &Looker{}
		for _, line := range lines {
			words, want, _ := strings.Cut(line, " : ")
			now, s := seen(t, b, words)
			var got []string
			for _, e := range l.Look(now, s) {
				got = append(got, e.Evidence.String())
			}
			slices.Sort(got)
			if strings.Join(got, " ") != want {
				t.Errorf("%s: %s: %v", name, line, got)
			}
		}
	}
}

// Nothing that is remembered grows, whatever comes.
func TestLookerIsBounded(t *testing.T) {
	b := bookOf(t, described)
	l := &Looker{}
	for i := range 20_000 {
		now, s := seen(t, b, fmt.Sprintf("%dms n%d PUT /s/%d K=%d -> 201", i, i%5000, i, i))
		s.Volume = fmt.Sprint("v", i)
		l.Look(now, s)
	}
	// It is made of arrays alone; what it holds is strings of node names and validators.
	held := 0
	for _, a := range l.answers {
		held += len(a.node) + len(a.etag)
	}
	if held > answers*16 {
		t.Errorf("%d bytes", held)
	}
}

func BenchmarkLook(b *testing.B) {
	bk := bookOf(b, described)
	for name, words := range map[string]string{
		"keyed": `0s n PUT /s/1 K=1 hello -> 201`, "safe": `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":7}`} {
		for _, schema := range []bool{false, true} {
			now, s := seen(b, bk, words)
			s.Schema = schema
			l := &Looker{}
			b.Run(fmt.Sprint(name, ", schema ", schema), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					now += 2 * time.Second
					l.Look(now, s)
				}
			})
		}
	}
}
