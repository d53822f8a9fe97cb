// Package conformance compares what nodes do with what descriptions say of it. What is seen in answers is read here without I/O, with the time passed in; package trust
// weighs it, and Observer does both beside the answers' way.
package conformance

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/trust"
)

// Seen is one answer of a node to a described call. Nothing of it is changed.
type Seen struct {
	Entry   *catalog.Entry
	Request *httpmsg.Request
	Volume  string
	Node    string
	Shard   int
	Status  int
	Header  http.Header
	Body    []byte
	Took    time.Duration
	Schema  bool // its body is to be held against its schema
}

// Bounds of what is remembered.
const (
	answers    = 4096 // calls whose answers are compared with later ones; a newer call takes an older one's place
	volumes    = 1024 // whose last write is known
	promises   = 1024 // of an operation at a node, that it takes calls again
	mostSample = 200  // bytes of what is shown to people
	mostHollow = 5 * time.Second
)

// keyMargin is the part of the time for which a key is known in which a repeat counts: the node's clock began earlier, and runs otherwise.
const keyMargin = 0.8

// answered is what is remembered of a call's answer.
type answered struct {
	call   uint64 // hash of all that makes it the same call; 0: nothing is remembered
	sum    uint64 // of the body
	shard  int
	node   string
	status int
	at     time.Duration
	unrun  bool // it was said not to have run
	etag   string
}

// Looker reads evidence out of answers. It remembers a bounded number of them.
type Looker struct {
	answers  [answers]answered
	writes   [volumes]struct{ volume, at uint64 }
	promises [promises]struct {
		of    uint64
		since time.Duration // from when on it is said to take calls again
	}
}

// Look gives what an answer tells; every answer tells something, and Fits is the least.
func (l *Looker) Look(now time.Duration, s *Seen) []trust.Report {
	f := finding{s: s}
	l.status(&f)
	l.promise(now, &f)
	switch s.Entry.Operation.Idempotency {
	case contract.IdempotentWithKey:
		l.keyed(now, &f)
	case contract.Idempotent:
		l.safe(now, &f)
	}
	if s.Entry.Operation.Idempotency != contract.Idempotent {
		l.wrote(now, s.Volume)
	}
	if len(f.all) == 0 {
		f.add(trust.Conforms, "")
	}
	return f.all
}

// finding gathers an answer's evidence.
type finding struct {
	s   *Seen
	all []trust.Report
}

func (f *finding) add(e trust.Evidence, format string, args ...any) {
	sample := ""
	if e != trust.Conforms {
		sample = f.s.Request.Method + " " + f.s.Request.URL.EscapedPath() + ": " + fmt.Sprintf(format, args...)
		sample = sample[:min(len(sample), mostSample)]
	}
	f.all = append(f.all, trust.Report{Operation: f.s.Entry.Name, Node: f.s.Node, Version: f.s.Header.Get("Server"), Client: xxhash.Sum64String(f.s.Request.Client),
		Evidence: e, Sample: sample})
}

// unrun tells whether the node says that the call has not run.
func (s *Seen) unrun() bool {
	return s.Entry.StatusMeaning(s.Status) == httpmsg.NeverRan || s.Header.Get(httpmsg.NotRunHeader) == "1"
}

// served tells whether it is an answer for the client that tells of success.
func (s *Seen) served() bool { return s.Status >= 200 && s.Status < 300 && !s.unrun() }

// status reads what an answer alone tells.
func (l *Looker) status(f *finding) {
	s, op := f.s, f.s.Entry.Operation
	if s.Status >= 200 && s.Status < 300 && s.Header.Get(httpmsg.NotRunHeader) == "1" {
		f.add(trust.ExecutedAfterDenial, "%s beside status %d", httpmsg.NotRunHeader, s.Status)
	}
	if op.Idempotency == contract.Idempotent && (s.Status == http.StatusCreated || s.Status == http.StatusAccepted) && op.Meaning(s.Status) == "" {
		f.add(trust.EffectOfIdempotent, "status %d to a call that is safe", s.Status)
	}
	if op.ExpectedDuration > 0 && s.Took > op.ExpectedDuration {
		f.add(trust.Slow, "it took %v, and is described to take %v at most", s.Took.Round(time.Millisecond), op.ExpectedDuration)
	}
	r, described := op.Response(s.Status)
	if !described && !platforms(s) {
		f.add(trust.UnknownStatus, "status %d is not described", s.Status)
		return
	}
	if r == nil || len(s.Body) == 0 || len(r.Types) == 0 {
		return
	}
	given := s.Header.Get("Content-Type")
	if _, ok := r.Type(given); !ok {
		f.add(trust.UnknownMediaType, "media type %q is not described for status %d", given, s.Status)
		return
	}
	if s.Schema {
		if err := r.Check(given, s.Body); err != nil {
			f.add(trust.SchemaViolation, "%s", strings.ReplaceAll(err.Error(), "\n", " "))
		}
	}
}

// platforms tells whether an answer is one that every node of the platform may give, described or not: an error, or turned away unrun.
func platforms(s *Seen) bool {
	return s.Status == http.StatusInternalServerError || (s.Status == http.StatusServiceUnavailable || s.Status == http.StatusGatewayTimeout) && s.Header.Get(httpmsg.NotRunHeader) == "1"
}

// promise follows what a node says of when it takes calls again.
func (l *Looker) promise(now time.Duration, f *finding) {
	s := f.s
	of := xxhash.Sum64String(s.Entry.Name + "\x00" + s.Node)
	at := &l.promises[of%promises]
	if !s.unrun() {
		if at.of == of {
			at.of = 0
		}
		return
	}
	if began := now - s.Took; at.of == of && began >= at.since && began-at.since < mostHollow {
		f.add(trust.IgnoredRetryAfter, "status %d, %v after the time that it had told", s.Status, (began - at.since).Round(time.Millisecond))
	}
	at.of = 0
	if wait, err := strconv.ParseFloat(s.Header.Get("Retry-After"), 64); err == nil && wait > 0 && wait < 3600 {
		at.of, at.since = of, now+time.Duration(wait*float64(time.Second))
	}
}

// keyed compares the answers to the same call with the same key, within the time for which the key is known, by nodes that know each other's.
func (l *Looker) keyed(now time.Duration, f *finding) {
	s, op := f.s, f.s.Entry.Operation
	call := contract.Call{Method: s.Request.Method, Host: s.Request.Host, Path: s.Request.URL.EscapedPath(), Query: s.Request.URL.RawQuery, Header: s.Request.Header}
	key := s.key(&call)
	if key == "" {
		return
	}
	id := sumOf([]byte(s.Entry.Name), []byte(key), []byte(call.Path), []byte(call.Query), s.Request.Body)
	at := &l.answers[id%answers]
	told := op.DedupHeader != "" && s.Header.Get(op.DedupHeader) != ""
	before := *at
	known := before.call == id && float64(now-before.at) < keyMargin*float64(op.DedupWindow) && (before.node == s.Node || op.DedupScope == contract.ScopeShard && s.Shard >= 0 && before.shard == s.Shard)
	switch {
	case !known || !s.served():
	case before.unrun && told:
		f.add(trust.KeyKnownAfterDenial, "%s tells of a repeat, and the only attempt before was said not to have run", op.DedupHeader)
	case before.unrun:
	case op.DedupHeader != "" && !told:
		f.add(trust.RepeatExecuted, "the answer to a repeat with the same key lacks %s", op.DedupHeader)
	case op.DedupHeader == "" && (before.sum != sumOf(s.Body) || before.status != s.Status):
		f.add(trust.RepeatExecuted, "the answer to a repeat with the same key is not that to the first")
	}
	switch {
	case s.served() && (!known || before.unrun): // a repeat does not renew it: the node's time began with the first
		*at = answered{call: id, sum: sumOf(s.Body), shard: s.Shard, node: s.Node, status: s.Status, at: now}
	case s.unrun() && !known:
		*at = answered{call: id, shard: s.Shard, node: s.Node, at: now, unrun: true}
	case !s.unrun() && !s.served() && before.call == id: // it may have run: nothing can be told of what comes after
		*at = answered{}
	}
}

// key is what the node knows the call by.
func (s *Seen) key(c *contract.Call) string {
	op := s.Entry.Operation
	if op.Key.In == "path" { // it is in the call's path, which makes it the same call
		return "path"
	}
	return op.Value(c, nil, op.Key)
}

// varying are the headers of a request on which a safe call's answer may depend; an answer that says to depend on another is not compared.
var varying = [...]string{"Accept", "Accept-Encoding", "Accept-Language", "Authorization", "Cookie", "If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range"}

// safe compares the answers to the same call while nothing was written to its volume: where the description says for how long they are the
// same, and two with the same strong validator (RFC 9110, section 8.8.3) in any case.
func (l *Looker) safe(now time.Duration, f *finding) {
	s := f.s
	etag := s.Header.Get("ETag")
	if strings.HasPrefix(etag, "W/") {
		etag = ""
	}
	if s.Status != http.StatusOK || s.Entry.Operation.StableFor == 0 && etag == "" || !comparable(s.Header) {
		return
	}
	h := xxhash.New()
	for _, part := range [...]string{s.Entry.Name, s.Request.Method, s.Request.Host, s.Request.URL.EscapedPath(), s.Request.URL.RawQuery} {
		h.WriteString(part)
		h.Write([]byte{0})
	}
	for _, name := range varying {
		for _, value := range s.Request.Header[name] {
			h.WriteString(name + ":" + value)
		}
		h.Write([]byte{0})
	}
	h.Write(s.Request.Body)
	id := max(h.Sum64(), 1)
	at := &l.answers[id%answers]
	sum := sumOf(s.Body)
	if before := *at; before.call == id && before.sum != sum {
		began := before.at
		switch {
		case etag != "" && etag == before.etag:
			f.add(trust.ResponsesDiffer, "two answers with the validator %.40s differ", etag)
		case now-began < s.Entry.Operation.StableFor && !l.written(began-s.Entry.Operation.StableFor, s.Volume):
			f.add(trust.ResponsesDiffer, "the answer differs from that of %v before, and nothing was written", (now - began).Round(time.Millisecond))
		}
	}
	*at = answered{call: id, sum: sum, node: s.Node, status: s.Status, at: now, etag: etag}
}

// comparable tells whether all that the answer depends on is known.
func comparable(h http.Header) bool {
	for _, value := range h.Values("Vary") {
		for name := range strings.SplitSeq(value, ",") {
			found := false
			for _, known := range varying {
				found = found || strings.EqualFold(strings.TrimSpace(name), known)
			}
			if !found {
				return false
			}
		}
	}
	return true
}

// wrote remembers that something may have been written to a volume.
func (l *Looker) wrote(now time.Duration, volume string) {
	h := max(xxhash.Sum64String(volume), 1)
	at := &l.writes[h%volumes]
	at.volume, at.at = h, uint64(max(now, 0))
}

// written tells whether something may have been written to a volume after a time. Where two volumes share a place, the other's write counts as well.
func (l *Looker) written(since time.Duration, volume string) bool {
	h := max(xxhash.Sum64String(volume), 1)
	at := l.writes[h%volumes]
	return at.volume != 0 && at.at >= uint64(max(since, 0))
}

// sumOf hashes parts so that their bounds count; it is never 0.
func sumOf(parts ...[]byte) uint64 {
	if len(parts) == 1 {
		return max(xxhash.Sum64(parts[0]), 1)
	}
	return max(xxhash.Sum64(bytes.Join(parts, []byte{0})), 1)
}
