package trust

// Evidence is what a response shows about a node.
type Evidence int

// The kinds of Evidence.
const (
	Conforms            Evidence = iota // the response is as described
	UnknownStatus                       // the status is not described
	UnknownMediaType                    // the media type is not described
	SchemaViolation                     // the body violates its schema
	Slow                                // the response took longer than described
	IgnoredRetryAfter                   // the node rejected a request again after its own Retry-After
	ResponsesDiffer                     // two responses to the same idempotent call differ where they must be equal
	RepeatExecuted                      // a retry with the same key was executed again
	ExecutedAfterDenial                 // a response shows an effect and says that the call has not run
	KeyKnownAfterDenial                 // the node knew the key of a call that it said had not run
	EffectOfSafeCall                    // a call that is described as changing nothing created something
	evidenceKinds                       // number of kinds
)

// evidenceNames are the names of the kinds of Evidence in the trust file and in events.
var evidenceNames = [evidenceKinds]string{
	Conforms:            "fits",
	UnknownStatus:       "status-unknown",
	UnknownMediaType:    "type-unknown",
	SchemaViolation:     "schema-broken",
	Slow:                "slow",
	IgnoredRetryAfter:   "retry-after-hollow",
	ResponsesDiffer:     "repeat-differs",
	RepeatExecuted:      "repeat-ran",
	ExecutedAfterDenial: "not-run-ran",
	KeyKnownAfterDenial: "not-run-known",
	EffectOfSafeCall:    "safe-created",
}

// String returns the name of a kind of Evidence in the trust file and in events.
func (e Evidence) String() string { return evidenceNames[e] }

// toleratedShare is the share of responses that may be contradictions of weight 1 without the soft weight growing.
const toleratedShare = 0.02

// evidenceWeights are the weights of the kinds of Evidence. Evidence in favour of a node has a negative weight.
var evidenceWeights = [evidenceKinds]float64{
	Conforms:            -toleratedShare,
	UnknownStatus:       1,
	UnknownMediaType:    1,
	SchemaViolation:     1,
	Slow:                0.25,
	IgnoredRetryAfter:   0.25,
	ResponsesDiffer:     1,
	RepeatExecuted:      4,
	ExecutedAfterDenial: 6,
	KeyKnownAfterDenial: 2, // another gateway may have sent the key meanwhile
	EffectOfSafeCall:    4,
}

// hardEvidence tells which kinds of Evidence no client can bring about.
var hardEvidence = [evidenceKinds]bool{
	RepeatExecuted:      true,
	ExecutedAfterDenial: true,
	EffectOfSafeCall:    true,
}

// Report is the evidence of one response.
type Report struct {
	Operation, Node string
	Version         string // version of the node's program; empty: unknown
	Client          uint64 // hash of the client that sent the request
	Evidence        Evidence
	Sample          string // readable description of what was observed
}
