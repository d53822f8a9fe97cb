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

const description = `
openapi: 3.1.0
info: {title: t, version: "1"}
paths:
  /s/{x}:
    get:
      x-contract: {repeats: safe, same_for: 1s, takes: 100ms, statuses: {"503": refused}}
      parameters: [{name: x, in: path, required: true, schema: {type: string}}]
      responses:
        "200":
          description: it
          content:
            application/json:
              schema: {type: object, required: [hours], properties: {hours: {type: [number, "null"]}}}
        "4XX": {description: no}
    put:
      x-contract:
        repeats: keyed
        key: {in: header, name: K, for: 10s, told: X-Repeated}
        statuses: {"503": refused}
      parameters: [{name: x, in: path, required: true, schema: {type: string}}]
      responses: {"201": {description: stored}, "503": {description: busy}}
    post:
      x-contract: {repeats: keyed, key: {in: query, name: k, for: 10s}}
      parameters: [{name: x, in: path, required: true, schema: {type: string}}]
      responses: {"201": {description: stored}}
`

func parseCatalog(t testing.TB, text string) *catalog.Catalog {
	t.Helper()
	operations, faults := contract.Parse("d.yaml", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if faults, _ := contract.Check(operations); len(faults) > 0 {
		t.Fatal(faults)
	}
	class := scheduler.Class{Name: "c", LatencyObjective: time.Second, Deadline: time.Minute}
	c, faults := catalog.New(operations, scheduler.Settings{Classes: []scheduler.Class{class}})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return c
}

// parseAnswer reads a request and its answer with their time, node, headers and bodies:
// "500ms n1 PUT /s/1?k=1 K=7 body -> 201 X-Repeated=1 body". Answers of nodes that are called slow take a second.
func parseAnswer(t testing.TB, c *catalog.Catalog, text string) (time.Duration, *Answer) {
	t.Helper()
	requestText, answerText, _ := strings.Cut(text, " -> ")
	parts := strings.Fields(requestText)
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		t.Fatal(err)
	}
	u, err := url.Parse(parts[3])
	if err != nil {
		t.Fatal(err)
	}
	header, body := parseMessage(parts[4:])
	request := &httpmsg.Request{Method: parts[2], URL: u, Header: header, Body: body, Client: "10.0.0.1"}
	call := contract.Call{Method: request.Method, Path: u.Path, Query: u.RawQuery, Header: header}
	entry, _ := c.Lookup(&call, nil)
	if entry.Operation == nil {
		t.Fatalf("%s: no description has it", text)
	}
	answer := &Answer{
		Entry:       entry,
		Request:     request,
		Volume:      "v",
		Node:        parts[1],
		Duration:    10 * time.Millisecond,
		CheckSchema: true,
	}
	if strings.HasPrefix(answer.Node, "slow") {
		answer.Duration = time.Second
	}
	answerParts := strings.Fields(answerText)
	fmt.Sscan(answerParts[0], &answer.Status)
	answer.Header, answer.Body = parseMessage(answerParts[1:])
	return time.Hour + at, answer
}

// parseMessage reads headers as Name=value and a body.
func parseMessage(words []string) (http.Header, []byte) {
	header, body := http.Header{}, ""
	for _, word := range words {
		if name, value, ok := strings.Cut(word, "="); ok && name[0] >= 'A' && name[0] <= 'Z' {
			header.Add(name, value)
		} else {
			body = word
		}
	}
	return header, []byte(body)
}

// answersWithEvidence are answers one after another, each with the evidence that it gives after those before it.
type answersWithEvidence map[string][]string

var responseAnswers = answersWithEvidence{
	"as described": {
		`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":7} : fits`,
		`0s n GET /s/2 -> 404 : fits`,
		`0s n GET /s/1 -> 500 : fits`,
	},
	"an undescribed status": {
		`0s n GET /s/1 -> 302 : status-unknown`,
		`0s n PUT /s/1 K=1 -> 200 : status-unknown`,
	},
	"a status with a meaning": {
		`0s n GET /s/1 -> 503 : fits`,
	},
	"a rejection": {
		`0s n POST /s/1?k=1 -> 504 X-Not-Run=1 : fits`,
	},
	"another media type": {
		`0s n GET /s/1 -> 200 Content-Type=text/html <p> : type-unknown`,
		`5s n GET /s/1 -> 200 x : type-unknown`,
	},
	"a body that violates its schema of OpenAPI 3.1": {
		`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":null} : fits`,
		`2s n GET /s/1 -> 200 Content-Type=application/json;charset=utf-8 {"hours":"7"} : schema-broken`,
		`4s n GET /s/1 -> 200 Content-Type=application/json {} : schema-broken`,
		`6s n GET /s/1 -> 200 Content-Type=application/json { : schema-broken`,
	},
	"slower than described": {
		`0s slow GET /s/1 -> 404 : slow`,
	},
	"an effect beside 'not run'": {
		`0s n PUT /s/1 K=1 -> 201 X-Not-Run=1 : not-run-ran`,
	},
	"an idempotent call creates something": {
		`0s n GET /s/1 -> 201 : safe-created status-unknown`,
	},
}

var retryAnswers = answersWithEvidence{
	"a retry is discarded": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`1s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : fits`,
	},
	"a retry is executed": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`1s n PUT /s/1 K=1 a -> 201 : repeat-ran`,
	},
	"another body is another call, whatever its key": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`1s n PUT /s/1 K=1 b -> 201 : fits`,
	},
	"another key": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`1s n PUT /s/1 K=2 a -> 201 : fits`,
	},
	"the window of the key is nearly over": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`8100ms n PUT /s/1 K=1 a -> 201 : fits`,
	},
	"a retry does not renew the window": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`6s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : fits`,
		`9s n PUT /s/1 K=1 a -> 201 : fits`,
	},
	"another node": {
		`0s n PUT /s/1 K=1 a -> 201 : fits`,
		`1s m PUT /s/1 K=1 a -> 201 : repeat-ran`,
	},
	"a known key after a rejection": {
		`0s n PUT /s/1 K=1 a -> 503 : fits`,
		`1s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : not-run-known`,
	},
	"an execution after a rejection": {
		`0s n PUT /s/1 K=1 a -> 503 : fits`,
		`1s n PUT /s/1 K=1 a -> 201 : fits`,
		`2s n PUT /s/1 K=1 a -> 201 : repeat-ran`,
	},
	"a retry after an error": {
		`0s n PUT /s/1 K=1 a -> 503 : fits`,
		`1s n PUT /s/1 K=1 a -> 500 : fits`,
		`2s n PUT /s/1 K=1 a -> 201 X-Repeated=1 : fits`,
	},
	"a retry has another answer": {
		`0s n POST /s/1?k=1 a -> 201 one : fits`,
		`1s n POST /s/1?k=1 a -> 201 one : fits`,
		`2s n POST /s/1?k=1 a -> 201 two : repeat-ran`,
	},
}

var stabilityAnswers = answersWithEvidence{
	"two answers to an idempotent call": {
		`0s n GET /s/1 Accept=x -> 404 : fits`,
		`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`,
		`900ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : repeat-differs`,
	},
	"a later answer may differ": {
		`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`,
		`1100ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : fits`,
	},
	"a write between two answers": {
		`0s n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`,
		`1ms n PUT /s/9 K=1 -> 500 : fits`,
		`9ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : fits`,
	},
	"a write just before the first answer": {
		`0s n PUT /s/9 K=1 -> 500 : fits`,
		`1ms n GET /s/1 -> 200 Content-Type=application/json {"hours":1} : fits`,
		`9ms n GET /s/1 -> 200 Content-Type=application/json {"hours":2} : fits`,
	},
	"an answer that depends on the client": {
		`0s n GET /s/1 Accept=a -> 200 Content-Type=application/json {"hours":1} : fits`,
		`1ms n GET /s/1 Accept=b -> 200 Content-Type=application/json {"hours":2} : fits`,
	},
	"an answer that depends on an unknown header": {
		`0s n GET /s/1 -> 200 Content-Type=application/json Vary=X-Mood {"hours":1} : fits`,
		`1ms n GET /s/1 -> 200 Content-Type=application/json Vary=X-Mood {"hours":2} : fits`,
	},
	"two answers with one validator": {
		`0s n GET /s/1 -> 200 Content-Type=application/json ETag="a" {"hours":1} : fits`,
		`5s m GET /s/1 -> 200 Content-Type=application/json ETag="a" {"hours":2} : repeat-differs`,
	},
	"a weak validator": {
		`0s n GET /s/1 -> 200 Content-Type=application/json ETag=W/"a" {"hours":1} : fits`,
		`5s m GET /s/1 -> 200 Content-Type=application/json ETag=W/"a" {"hours":2} : fits`,
	},
}

var retryAfterAnswers = answersWithEvidence{
	"a rejection after the announced time": {
		`0s n GET /s/1 -> 503 Retry-After=2 : fits`,
		`1s n GET /s/1 -> 503 Retry-After=2 : fits`,
		`4s n GET /s/1 -> 503 : retry-after-hollow`,
	},
	"an accepted call after the announced time": {
		`0s n GET /s/1 -> 503 Retry-After=2 : fits`,
		`3s n GET /s/1 -> 404 : fits`,
		`4s n GET /s/1 -> 503 : fits`,
	},
	"a rejection long after the announced time": {
		`0s n GET /s/1 -> 503 Retry-After=2 : fits`,
		`30s n GET /s/1 -> 503 : fits`,
	},
}

func TestInspect(t *testing.T) {
	c := parseCatalog(t, description)
	for kind, tests := range map[string]answersWithEvidence{
		"response":    responseAnswers,
		"retry":       retryAnswers,
		"stability":   stabilityAnswers,
		"retry after": retryAfterAnswers,
	} {
		for name, lines := range tests {
			t.Run(kind+"/"+name, func(t *testing.T) {
				inspector := &Inspector{}
				for _, line := range lines {
					text, want, _ := strings.Cut(line, " : ")
					now, answer := parseAnswer(t, c, text)
					var got []string
					for _, report := range inspector.Inspect(now, answer) {
						got = append(got, report.Evidence.String())
					}
					slices.Sort(got)
					if strings.Join(got, " ") != want {
						t.Errorf("%s: %v", line, got)
					}
				}
			})
		}
	}
}

// Whatever comes, what is remembered does not grow.
func TestInspectorIsBounded(t *testing.T) {
	c := parseCatalog(t, description)
	inspector := &Inspector{}
	for i := range 20_000 {
		now, answer := parseAnswer(t, c, fmt.Sprintf("%dms n%d PUT /s/%d K=%d -> 201", i, i%5000, i, i))
		answer.Volume = fmt.Sprint("v", i)
		inspector.Inspect(now, answer)
	}
	// An Inspector is made of arrays alone. Beside them, there are only the texts of node names and validators.
	textBytes := 0
	for _, remembered := range inspector.answers {
		textBytes += len(remembered.node) + len(remembered.etag)
	}
	if textBytes > maxAnswers*16 {
		t.Errorf("%d bytes", textBytes)
	}
}

func BenchmarkInspect(b *testing.B) {
	c := parseCatalog(b, description)
	for name, text := range map[string]string{
		"keyed": `0s n PUT /s/1 K=1 hello -> 201`,
		"safe":  `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":7}`,
	} {
		for _, schema := range []bool{false, true} {
			now, answer := parseAnswer(b, c, text)
			answer.CheckSchema = schema
			inspector := &Inspector{}
			b.Run(fmt.Sprint(name, ", schema ", schema), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					now += 2 * time.Second
					inspector.Inspect(now, answer)
				}
			})
		}
	}
}
