package conformance

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/trust"
)

// varyingHeaders are the headers of a request on which the answer to an idempotent call may depend. An answer that says
// to depend on another one is not compared.
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

// checkStability compares the answers to the same idempotent call: those within the described time if nothing was
// written to the volume, and in any case those with the same strong validator (RFC 9110, section 8.8.3).
func (i *Inspector) checkStability(now time.Duration, c *collector) {
	answer := c.answer
	stableFor := answer.Entry.Operation.StableFor
	etag := strongValidator(answer.Header)
	comparable := stableFor > 0 || etag != ""
	if answer.Status != http.StatusOK || !comparable || !variesOnlyAsKnown(answer.Header) {
		return
	}
	id := answer.callHash()
	slot := &i.answers[id%maxAnswers]
	body := hashOf(answer.Body)
	if before := *slot; before.call == id && before.body != body {
		age := now - before.at
		switch {
		case etag != "" && etag == before.etag:
			c.add(trust.ResponsesDiffer, "two answers with the validator %.40s differ", etag)
		case age < stableFor && !i.writtenSince(before.at-stableFor, answer.Volume):
			const format = "the answer differs from that of %v before, and nothing was written"
			c.add(trust.ResponsesDiffer, format, age.Round(time.Millisecond))
		}
	}
	*slot = rememberedAnswer{
		call:   id,
		body:   body,
		node:   answer.Node,
		status: answer.Status,
		at:     now,
		etag:   etag,
	}
}

// strongValidator returns the entity tag of an answer; empty if it has none or a weak one.
func strongValidator(h http.Header) string {
	etag := h.Get("ETag")
	if strings.HasPrefix(etag, "W/") {
		return ""
	}
	return etag
}

// variesOnlyAsKnown reports whether the answer depends on no header but those of varyingHeaders.
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

// callHash returns a hash of all that makes it the same call; it is never 0.
func (a *Answer) callHash() uint64 {
	request := a.Request
	digest := xxhash.New()
	separate := func() { digest.Write([]byte{0}) }
	for _, part := range [...]string{
		a.Entry.Name, request.Method, request.Host, request.URL.EscapedPath(), request.URL.RawQuery,
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
	digest.Write(request.Body)
	return max(digest.Sum64(), 1)
}

// volumeWrite is the last time at which a volume may have been written to.
type volumeWrite struct {
	volume uint64 // a hash; 0: nothing is remembered
	at     uint64 // nanoseconds
}

// recordWrite records that a volume may have been written to.
func (i *Inspector) recordWrite(now time.Duration, volume string) {
	id := volumeHash(volume)
	i.writes[id%maxVolumes] = volumeWrite{volume: id, at: uint64(max(now, 0))}
}

// writtenSince reports whether a volume may have been written to after a time. If two volumes share a slot, the write
// to the other one counts as well.
func (i *Inspector) writtenSince(since time.Duration, volume string) bool {
	last := i.writes[volumeHash(volume)%maxVolumes]
	return last.volume != 0 && last.at >= uint64(max(since, 0))
}

// volumeHash is never 0.
func volumeHash(volume string) uint64 { return max(xxhash.Sum64String(volume), 1) }
