package iscsi

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Pair is a key=value pair of login text (section 6.1).
type Pair struct {
	Key   string
	Value string
}

// Limits of section 6.1, in bytes.
const (
	maxKeyLength   = 63
	maxValueLength = 255
)

// ParseText returns the pairs in a data segment of login text.
func ParseText(data []byte) ([]Pair, error) {
	var pairs []Pair
	for _, part := range bytes.Split(data, []byte{0}) {
		if len(part) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(part), "=")
		if !ok || key == "" || len(key) > maxKeyLength || len(value) > maxValueLength {
			return nil, fmt.Errorf("iscsi: %.70q is not a key=value pair", part)
		}
		pairs = append(pairs, Pair{Key: key, Value: value})
	}
	return pairs, nil
}

// FormatText returns the data segment that holds pairs as login text.
func FormatText(pairs []Pair) []byte {
	var b []byte
	for _, pair := range pairs {
		b = append(b, pair.Key...)
		b = append(b, '=')
		b = append(b, pair.Value...)
		b = append(b, 0)
	}
	return b
}

// Params are the operational parameters of a session, as one side sees them (section 13).
type Params struct {
	MaxSendSegment   int  // the other side's MaxRecvDataSegmentLength: the longest data segment to send, in bytes
	FirstBurst       int  // FirstBurstLength: most unsolicited data of a write, in bytes
	MaxBurst         int  // MaxBurstLength: most data that one R2T asks for, in bytes
	ImmediateData    bool // a write may carry data in its command
	TargetName       string
	InitiatorName    string
	DiscoverySession bool // SessionType is Discovery
}

// Defaults of section 13, in bytes. The gateway negotiates no longer bursts than these.
const (
	DefaultMaxSegment = 8192   // MaxRecvDataSegmentLength
	DefaultFirstBurst = 65536  // FirstBurstLength
	DefaultMaxBurst   = 262144 // MaxBurstLength
)

// Limits of lengths, in bytes.
const (
	maxSegment = DefaultFirstBurst // longest data segment that the gateway sends

	minParamLength = 512       // smallest value of any length in section 13
	maxParamLength = 1<<24 - 1 // largest value of any length in section 13
)

// DefaultParams returns the parameters that hold at the start of a login.
func DefaultParams() Params {
	return Params{
		MaxSendSegment: DefaultMaxSegment,
		FirstBurst:     DefaultFirstBurst,
		MaxBurst:       DefaultMaxBurst,
		ImmediateData:  true,
	}
}

// fixedAnswers holds, by key, the only value that the gateway accepts. The answer to an offer is always that value, but
// if it is "None", the offer must contain it.
var fixedAnswers = map[string]string{
	"AuthMethod":          "None",
	"DataDigest":          "None",
	"DataPDUInOrder":      "Yes",
	"DataSequenceInOrder": "Yes",
	"DefaultTime2Retain":  "0",
	"DefaultTime2Wait":    "0",
	"ErrorRecoveryLevel":  "0",
	"HeaderDigest":        "None",
	"IFMarker":            "No",
	"InitialR2T":          "Yes",
	"MaxConnections":      "1",
	"MaxOutstandingR2T":   "1",
	"OFMarker":            "No",
}

// Negotiate applies the pairs that the other side has sent and returns the answers to them.
func (p *Params) Negotiate(pairs []Pair) ([]Pair, error) {
	var answers []Pair
	for _, pair := range pairs {
		answer, negotiated, err := p.apply(pair)
		if err != nil {
			return nil, err
		}
		if negotiated {
			answers = append(answers, Pair{Key: pair.Key, Value: answer})
		}
	}
	return answers, nil
}

// apply applies a pair and returns the value of the answer. It returns false for negotiated if the key is only declared
// by the other side and has no answer.
func (p *Params) apply(pair Pair) (answer string, negotiated bool, err error) {
	switch pair.Key {
	case "InitiatorName":
		p.InitiatorName = pair.Value
	case "TargetName":
		p.TargetName = pair.Value
	case "SessionType":
		p.DiscoverySession = pair.Value == "Discovery"
	case "InitiatorAlias", "TargetAlias", "TargetPortalGroupTag":
		// The gateway ignores these keys.
	case "MaxRecvDataSegmentLength":
		p.MaxSendSegment, err = parseLength(pair, maxSegment)
	case "FirstBurstLength":
		p.FirstBurst, err = parseLength(pair, DefaultFirstBurst)
		return strconv.Itoa(p.FirstBurst), true, err
	case "MaxBurstLength":
		p.MaxBurst, err = parseLength(pair, DefaultMaxBurst)
		return strconv.Itoa(p.MaxBurst), true, err
	case "ImmediateData":
		p.ImmediateData = pair.Value == "Yes"
		return pair.Value, true, nil
	default:
		answer, err = fixedAnswer(pair)
		return answer, true, err
	}
	return "", false, err
}

// fixedAnswer returns the answer to a key that apply does not handle itself: the key's value in fixedAnswers, or
// NotUnderstood if the key is not in that map. It returns an error if the value is "None" and was not offered.
func fixedAnswer(pair Pair) (string, error) {
	value, known := fixedAnswers[pair.Key]
	if !known {
		return "NotUnderstood", nil
	}
	if value == "None" && !slices.Contains(strings.Split(pair.Value, ","), value) {
		return "", fmt.Errorf("iscsi: %s: %q does not offer None", pair.Key, pair.Value)
	}
	return value, nil
}

// parseLength returns the length in a pair, but at most limit.
func parseLength(pair Pair, limit int) (int, error) {
	n, err := strconv.Atoi(pair.Value)
	if err != nil || n < minParamLength || n > maxParamLength {
		return 0, fmt.Errorf("iscsi: %s: %q is not a length from %d to %d",
			pair.Key, pair.Value, minParamLength, maxParamLength)
	}
	return min(n, limit), nil
}
