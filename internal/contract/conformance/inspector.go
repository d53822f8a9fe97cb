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

// Response is one response of a node to a described call. The Inspector does not modify it.
type Response struct {
	Entry       *catalog.Entry
	Request     *httpmsg.Request
	Volume      string
	Node        string
	Shard       int
	Status      int
	Header      http.Header
	Body        []byte
	Duration    time.Duration // time that the attempt took
	CheckSchema bool          // whether the body is validated against its schema
}

// rejected reports whether the response states that the call did not run.
func (r *Response) rejected() bool {
	return r.Entry.StatusMeaning(r.Status) == httpmsg.NeverRan || r.Header.Get(httpmsg.NotRunHeader) == "1"
}

// succeeded reports whether the status reports success and the call was not rejected.
func (r *Response) succeeded() bool { return isSuccess(r.Status) && !r.rejected() }

// isSuccess reports whether a status is in the range 2XX.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// Sizes of the hash tables of an Inspector, in slots. A newer item replaces an older one in the same slot.
const (
	maxResponses   = 4096 // responses that later ones are compared with
	maxVolumes     = 1024 // volumes with the time of their last write
	maxRetryAfters = 1024 // times that nodes announced for an operation by Retry-After
)

// Inspector derives evidence from responses. It remembers a fixed maximum of earlier responses.
type Inspector struct {
	responses   [maxResponses]rememberedResponse
	writes      [maxVolumes]volumeWrite
	retryAfters [maxRetryAfters]announcedRetry
}

// rememberedResponse holds what later responses to the same call are compared with.
type rememberedResponse struct {
	call     uint64 // hash of everything that identifies the call; 0: the slot is empty
	body     uint64 // hash of the body
	shard    int
	node     string
	status   int
	at       time.Duration
	rejected bool // the response stated that the call did not run
	etag     string
}

// Inspect returns the evidence of a response. If there is none against it, the only evidence is trust.Conforms.
func (i *Inspector) Inspect(now time.Duration, response *Response) []trust.Report {
	c := evidenceCollector{response: response}
	c.checkResponse()
	i.checkRetryAfter(now, &c)
	switch response.Entry.Operation.Idempotency {
	case contract.IdempotentWithKey:
		i.checkRetry(now, &c)
	case contract.Idempotent:
		i.checkStability(now, &c)
	}
	if response.Entry.Operation.Idempotency != contract.Idempotent {
		i.recordWrite(now, response.Volume)
	}
	if len(c.reports) == 0 {
		c.add(trust.Conforms, "")
	}
	return c.reports
}

// maxSampleBytes is the maximum length of the sample in a report.
const maxSampleBytes = 200

// evidenceCollector collects the evidence of one response.
type evidenceCollector struct {
	response *Response
	reports  []trust.Report
}

// add adds evidence with a sample, a text that shows operators what contradicted the description.
func (c *evidenceCollector) add(evidence trust.Evidence, format string, args ...any) {
	response := c.response
	sample := ""
	if evidence != trust.Conforms {
		request := response.Request
		sample = request.Method + " " + request.URL.EscapedPath() + ": " + fmt.Sprintf(format, args...)
		sample = sample[:min(len(sample), maxSampleBytes)]
	}
	c.reports = append(c.reports, trust.Report{
		Operation: response.Entry.Name,
		Node:      response.Node,
		Version:   response.Header.Get("Server"),
		Client:    xxhash.Sum64String(response.Request.Client),
		Evidence:  evidence,
		Sample:    sample,
	})
}

// hashOf returns a hash of parts and of the boundaries between them. It is never 0.
func hashOf(parts ...[]byte) uint64 {
	if len(parts) == 1 {
		return max(xxhash.Sum64(parts[0]), 1)
	}
	return max(xxhash.Sum64(bytes.Join(parts, []byte{0})), 1)
}
