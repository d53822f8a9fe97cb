package conformance

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/trust"
)

// Answer is one answer of a node to a described call. The Inspector changes nothing of it.
type Answer struct {
	Entry       *catalog.Entry
	Request     *httpmsg.Request
	Volume      string
	Node        string
	Shard       int
	Status      int
	Header      http.Header
	Body        []byte
	Duration    time.Duration // of the attempt
	CheckSchema bool          // the body is validated against its schema
}

// rejected reports whether the node says that the call did not run.
func (a *Answer) rejected() bool {
	return a.Entry.StatusMeaning(a.Status) == httpmsg.NeverRan || a.Header.Get(httpmsg.NotRunHeader) == "1"
}

// succeeded reports whether the status reports success and the call was not rejected.
func (a *Answer) succeeded() bool { return isSuccess(a.Status) && !a.rejected() }

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// Bounds of what an Inspector remembers. A newer item takes the place of an older one with the same hash.
const (
	maxAnswers     = 4096 // calls whose answers are compared with later ones
	maxVolumes     = 1024 // volumes whose last write is known
	maxRetryAfters = 1024 // operations at nodes that announced a Retry-After
)

// Inspector reads evidence out of answers. It remembers a bounded number of them.
type Inspector struct {
	answers     [maxAnswers]rememberedAnswer
	writes      [maxVolumes]volumeWrite
	retryAfters [maxRetryAfters]announcedRetry
}

// rememberedAnswer is what later answers to the same call are compared with.
type rememberedAnswer struct {
	call     uint64 // a hash of all that makes it the same call; 0: nothing is remembered
	body     uint64 // a hash
	shard    int
	node     string
	status   int
	at       time.Duration
	rejected bool // the node said that the call did not run
	etag     string
}

// Inspect returns the evidence of an answer. There is always some: at least that the answer conforms.
func (i *Inspector) Inspect(now time.Duration, answer *Answer) []trust.Report {
	c := collector{answer: answer}
	c.checkResponse()
	i.checkRetryAfter(now, &c)
	switch answer.Entry.Operation.Idempotency {
	case contract.IdempotentWithKey:
		i.checkRetry(now, &c)
	case contract.Idempotent:
		i.checkStability(now, &c)
	}
	if answer.Entry.Operation.Idempotency != contract.Idempotent {
		i.recordWrite(now, answer.Volume)
	}
	if len(c.reports) == 0 {
		c.add(trust.Conforms, "")
	}
	return c.reports
}

// maxSampleBytes bounds what a report shows to people.
const maxSampleBytes = 200

// collector collects the evidence of one answer.
type collector struct {
	answer  *Answer
	reports []trust.Report
}

// add adds evidence with a sample for people.
func (c *collector) add(evidence trust.Evidence, format string, args ...any) {
	answer := c.answer
	sample := ""
	if evidence != trust.Conforms {
		request := answer.Request
		sample = request.Method + " " + request.URL.EscapedPath() + ": " + fmt.Sprintf(format, args...)
		sample = sample[:min(len(sample), maxSampleBytes)]
	}
	c.reports = append(c.reports, trust.Report{
		Operation: answer.Entry.Name,
		Node:      answer.Node,
		Version:   answer.Header.Get("Server"),
		Client:    xxhash.Sum64String(answer.Request.Client),
		Evidence:  evidence,
		Sample:    sample,
	})
}

// hashOf returns a hash of parts and of the bounds between them; it is never 0.
func hashOf(parts ...[]byte) uint64 {
	if len(parts) == 1 {
		return max(xxhash.Sum64(parts[0]), 1)
	}
	return max(xxhash.Sum64(bytes.Join(parts, []byte{0})), 1)
}
