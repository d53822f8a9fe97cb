package iscsi

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Pair is one key of a login's text.
type Pair struct{ Key, Value string }

// ParseText reads the key=value pairs of a data segment.
func ParseText(data []byte) ([]Pair, error) {
	var pairs []Pair
	for _, part := range bytes.Split(data, []byte{0}) {
		if len(part) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(part), "=")
		if !ok || key == "" || len(key) > 63 || len(value) > 255 {
			return nil, fmt.Errorf("iscsi: %.70q is not a key and a value", part)
		}
		pairs = append(pairs, Pair{key, value})
	}
	return pairs, nil
}

// FormatText writes pairs as a data segment.
func FormatText(pairs []Pair) []byte {
	var b []byte
	for _, p := range pairs {
		b = append(append(b, p.Key+"="+p.Value...), 0)
	}
	return b
}

// Params is what both sides of a session have agreed on.
type Params struct {
	MostSegment    int // longest data segment that the other side takes
	FirstBurst     int // unsolicited data of a write
	MostBurst      int // data that one R2T asks for
	ImmediateData  bool
	InitialR2T     bool
	TargetName     string
	InitiatorName  string
	DiscoveryCalls bool // the session is for discovery
}

// What holds until something else is agreed on.
const (
	DefaultSegment    = 8192
	DefaultFirstBurst = 65536
	DefaultMostBurst  = 262144
)

// DefaultParams hold at the start of a login.
func DefaultParams() Params {
	return Params{MostSegment: DefaultSegment, FirstBurst: DefaultFirstBurst, MostBurst: DefaultMostBurst,
		ImmediateData: true, InitialR2T: true}
}

// ours are the keys that have one outcome here, whatever is offered.
var ours = map[string]string{
	"HeaderDigest": "None", "DataDigest": "None", "AuthMethod": "None", "MaxConnections": "1",
	"ErrorRecoveryLevel": "0", "MaxOutstandingR2T": "1", "DataPDUInOrder": "Yes", "DataSequenceInOrder": "Yes",
	"DefaultTime2Wait": "0", "DefaultTime2Retain": "0", "InitialR2T": "Yes", "IFMarker": "No", "OFMarker": "No",
}

// Negotiate takes the other side's pairs into p and gives the answers that are due.
func (p *Params) Negotiate(pairs []Pair) ([]Pair, error) {
	var answers []Pair
	for _, pair := range pairs {
		var err error
		switch pair.Key {
		case "InitiatorName":
			p.InitiatorName = pair.Value
		case "TargetName":
			p.TargetName = pair.Value
		case "SessionType":
			p.DiscoveryCalls = pair.Value == "Discovery"
		case "InitiatorAlias", "TargetAlias", "TargetPortalGroupTag":
		case "MaxRecvDataSegmentLength": // declared, not agreed on
			p.MostSegment, err = size(pair, DefaultFirstBurst)
		case "FirstBurstLength":
			p.FirstBurst, err = size(pair, DefaultFirstBurst)
			answers = append(answers, Pair{pair.Key, strconv.Itoa(p.FirstBurst)})
		case "MaxBurstLength":
			p.MostBurst, err = size(pair, DefaultMostBurst)
			answers = append(answers, Pair{pair.Key, strconv.Itoa(p.MostBurst)})
		case "ImmediateData":
			p.ImmediateData = pair.Value == "Yes"
			answers = append(answers, pair)
		default:
			value, known := ours[pair.Key]
			if !known {
				value = "NotUnderstood"
			}
			if value == "None" && !slices.Contains(strings.Split(pair.Value, ","), value) {
				return nil, fmt.Errorf("iscsi: %s: %q leaves out None", pair.Key, pair.Value)
			}
			answers = append(answers, Pair{pair.Key, value})
		}
		if err != nil {
			return nil, err
		}
	}
	return answers, nil
}

// size reads a length, at most most and within what the RFC allows.
func size(p Pair, most int) (int, error) {
	n, err := strconv.Atoi(p.Value)
	if err != nil || n < 512 || n > 1<<24-1 {
		return 0, fmt.Errorf("iscsi: %s: %q is not a length from 512 to 16777215", p.Key, p.Value)
	}
	return min(n, most), nil
}
