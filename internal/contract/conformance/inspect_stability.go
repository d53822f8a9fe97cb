package conformance

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/trust"
)

// varyingHeaders are the request headers on which the response to an idempotent call may depend. A response whose Vary
// names any other header is not compared.
var varyingHeaders = [...]string{
	"Accept",
	"Accept-Encoding",
	"Accept-Language",
	"Authorization",
	"Cookie",
	"If-Match",
	"If-Modified-Since",
	"If-None-Match",
	"If-Unmodified-Since",
	"Range",
}

// checkStability compares the bodies of responses with status 200 to the same idempotent call. They must be equal if
// the responses have the same strong validator (RFC 9110, section 8.8.3). They must also be equal within the described
// time (StableFor), if nothing was written to the volume in that time before the first response or since then.
func (i *Inspector) checkStability(now time.Duration, c *evidenceCollector) {
	response := c.response
	stableFor := response.Entry.Operation.StableFor
	etag := strongValidator(response.Header)
	comparable := stableFor > 0 || etag != ""
	if response.Status != http.StatusOK || !comparable || !variesOnlyAsKnown(response.Header) {
		return
	}
	id := response.callHash()
	slot := &i.responses[id%maxResponses]
	body := hashOf(response.Body)
	if before := *slot; before.call == id && before.body != body {
		age := now - before.at
		switch {
		case etag != "" && etag == before.etag:
			c.add(trust.ResponsesDiffer, "two answers with the validator %.40s differ", etag)
		case age < stableFor && !i.writtenSince(before.at-stableFor, response.Volume):
			const format = "the answer differs from that of %v before, and nothing was written"
			c.add(trust.ResponsesDiffer, format, age.Round(time.Millisecond))
		}
	}
	*slot = rememberedResponse{
		call:   id,
		body:   body,
		node:   response.Node,
		status: response.Status,
		at:     now,
		etag:   etag,
	}
}

// strongValidator returns the entity tag of a response; empty if it is missing or weak.
func strongValidator(h http.Header) string {
	etag := h.Get("ETag")
	if strings.HasPrefix(etag, "W/") {
		return ""
	}
	return etag
}

// variesOnlyAsKnown reports whether Vary names only headers of varyingHeaders.
func variesOnlyAsKnown(h http.Header) bool {
	for _, value := range h.Values("Vary") {
		for name := range strings.SplitSeq(value, ",") {
			same := func(known string) bool { return strings.EqualFold(strings.TrimSpace(name), known) }
			if !slices.ContainsFunc(varyingHeaders[:], same) {
				return false
			}
		}
	}
	return true
}

// callHash returns a hash of everything that identifies the call, including varyingHeaders. It is never 0.
func (r *Response) callHash() uint64 {
	request := r.Request
	digest := xxhash.New()
	separate := func() { digest.Write([]byte{0}) }
	for _, part := range [...]string{
		r.Entry.Name, request.Method, request.Host, request.URL.EscapedPath(), request.URL.RawQuery,
	} {
		digest.WriteString(part)
		separate()
	}
	for _, name := range varyingHeaders {
		for _, value := range request.Header[name] {
			digest.WriteString(name + ":" + value)
		}
		separate()
	}
	request.Body.WriteTo(digest)
	return max(digest.Sum64(), 1)
}

// volumeWrite is the latest time at which a volume may have been written to.
type volumeWrite struct {
	volume uint64 // hash of the volume; 0: the slot is empty
	at     uint64 // in nanoseconds
}

// recordWrite records that a volume may have been written to.
func (i *Inspector) recordWrite(now time.Duration, volume string) {
	id := volumeHash(volume)
	i.writes[id%maxVolumes] = volumeWrite{volume: id, at: uint64(max(now, 0))}
}

// writtenSince reports whether a volume may have been written to at or after a time. If two volumes share a slot, a
// write to the other one counts as well.
func (i *Inspector) writtenSince(since time.Duration, volume string) bool {
	last := i.writes[volumeHash(volume)%maxVolumes]
	return last.volume != 0 && last.at >= uint64(max(since, 0))
}

// volumeHash returns a hash of a volume. It is never 0.
func volumeHash(volume string) uint64 { return max(xxhash.Sum64String(volume), 1) }
