package simprotocol

import (
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"reachpulley/scheduler"
)

const ms = time.Millisecond

// decodeAll decodes all batches of an input.
func decodeAll(text string) ([]Batch, error) {
	decoder := NewDecoder(strings.NewReader(text))
	var batches []Batch
	for {
		batch, err := decoder.Next()
		if err == io.EOF {
			return batches, nil
		}
		if err != nil {
			return batches, err
		}
		batches = append(batches, batch)
	}
}

// everyEvent is an input of two batches, the second of which holds events of all kinds.
const everyEvent = "round\ttsMs=1.5\nflush\n" +
	"round\ttsMs=8412.25\textra=1\n" +
	"init\twho=3\tinitSeed=42\tconf=" + settingsText + "\n" +
	"catalog\tbank=0\tmembersList=2\n" +
	"item\tnode=na\tlocality=0\tmodel=0\tcluster=0\tphase=up\tunits=1\n" +
	"item\tnode=nb\tlocality=1\tcluster=4\tphase=draining\tunits=1.5\tcameUpMs=6100.0\n" +
	"announce\twho=3\tmode=remembered\tgen=41\tbank=0\n" +
	"catalog\tbank=0\tmembersList=1\n" +
	"item\tnode=nc\tcluster=1\tphase=removed\n" +
	"announce\twho=3\tmode=changes\tgen=42\tbank=0\n" +
	"announce\twho=3\tmode=refused\tgen=0\tbank=0\n" +
	"ingress\twho=3\topId=t/a\tpriority=0\tserviceLevel=0\tblockKey=91f0\tpatienceLeftMs=240.0\t" +
	"storeUser=2b8e\tcostUnits=2\thomeCell=-1\thosts=3\tretry=1\n" +
	"unheard_of\twho=3\n" +
	"echo\twho=3\tnode=na\tstatus=completed\trttMs=1.4\tstats=rif:7,q:3,new:1\n" +
	"ack_first\twho=3\topId=t/a\tn=0\tnode=na\trttMs=9.25\n" +
	"response\twho=3\topId=t/a\tn=1\tnode=na\tstatus=severed\trttMs=18.5\tdoneFlag=1\tmetered=86\tdelta=3\n" +
	"vanished\twho=5\topId=t/b\n" +
	"alarm\twho=3\tkeyBack=77\n" +
	"power_off\twho=3\n" +
	"flush\n"

// everyDecodedEvent holds the events of the second batch of everyEvent except for the first, which starts the instance.
var everyDecodedEvent = []Event{
	{
		Kind:     MembershipChanged,
		Instance: 3,
		Membership: scheduler.Membership{
			Kind: scheduler.CachedList,
			Nodes: []scheduler.Node{
				{ID: "na", Size: 1},
				{
					ID:        "nb",
					Zone:      1,
					Shard:     4,
					Phase:     scheduler.Draining,
					Size:      1.5,
					StartedAt: 6100 * ms,
				},
			},
		},
	},
	{
		Kind:     MembershipChanged,
		Instance: 3,
		Membership: scheduler.Membership{
			Kind:  scheduler.DeltaList,
			Nodes: []scheduler.Node{{ID: "nc", Shard: 1, Phase: scheduler.Removed, Size: 1}},
		},
	},
	{Kind: MembershipChanged, Instance: 3, Membership: scheduler.Membership{Kind: scheduler.WatchFailed}},
	{
		Kind:     RequestArrived,
		Instance: 3,
		Request: scheduler.Request{
			ID:            "t/a",
			Volume:        "2b8e",
			Key:           "91f0",
			Units:         2,
			Shard:         scheduler.AnyShard,
			ClientTimeout: 240 * ms,
			Hosts:         3,
		},
	},
	{
		Kind:     ProbeEnded,
		Instance: 3,
		Probe: scheduler.ProbeResult{
			Node:    "na",
			Served:  true,
			Latency: 1400 * time.Microsecond,
			Load:    &scheduler.Load{InFlight: 7, Queued: 3, Busy: -1},
		},
	},
	{
		Kind:     StreamStarted,
		Instance: 3,
		Outcome:  scheduler.Outcome{ID: "t/a", Node: "na", Latency: 9250 * time.Microsecond, VolumeUse: -1},
	},
	{
		Kind:     AttemptEnded,
		Instance: 3,
		Outcome: scheduler.Outcome{
			ID:         "t/a",
			Attempt:    1,
			Node:       "na",
			Result:     scheduler.ConnectionReset,
			Latency:    18500 * time.Microsecond,
			Concluded:  true,
			VolumeUse:  0.85,
			OtherUnits: 3,
		},
	},
	{Kind: ClientDisconnected, Instance: 5, ID: "t/b"},
	{Kind: TimerFired, Instance: 3, Timer: 77},
	{Kind: InstanceStopped, Instance: 3},
}

func TestDecodesEveryEvent(t *testing.T) {
	batches, err := decodeAll(everyEvent)
	if err != nil {
		t.Fatal(err)
	}
	if len(batches) != 2 || len(batches[0].Events) != 0 || batches[1].Now != 8412250*time.Microsecond {
		t.Fatalf("batches: %+v, want two: one without events, one at 8.41225s", batches)
	}
	events := batches[1].Events
	if len(events) != len(everyDecodedEvent)+1 {
		t.Fatalf("%d events, want %d", len(events), len(everyDecodedEvent)+1)
	}
	checkStart(t, events[0])
	for i, want := range everyDecodedEvent {
		if got := events[i+1]; !reflect.DeepEqual(got, want) {
			t.Errorf("event %d:\ngot  %+v\nwant %+v", i+1, got, want)
		}
	}
}

// checkStart checks an event that starts an instance with the settings in settingsText.
func checkStart(t *testing.T, event Event) {
	t.Helper()
	settings := event.Settings
	if event.Kind != InstanceStarted || event.Seed != 42 || settings.Siblings != 3 || !settings.PollMembership {
		t.Errorf("event %+v, want one of kind %d with seed 42, 3 siblings and a polled membership",
			event, InstanceStarted)
	}
	wantClass := scheduler.Class{
		Name:             "w",
		LatencyObjective: 300 * ms,
		Deadline:         2500 * ms,
		PriorityWeight:   2,
		LateWeightShare:  0.2,
		Idempotency:      scheduler.IdempotentWithKey,
		DedupScope:       scheduler.ScopeShard,
		DedupWindow:      4 * time.Second,
		Ordered:          true,
	}
	if settings.Classes[0] != wantClass {
		t.Errorf("class %+v\nwant %+v", settings.Classes[0], wantClass)
	}
	wantPlan := scheduler.Plan{
		Name:    "p",
		Rate:    3.6,
		Reserve: 1.8,
		Limit:   7.2,
		Burst:   9,
		Slack:   0.5,
		Weight:  3,
		Price:   0.8,
	}
	if settings.Plans[0] != wantPlan {
		t.Errorf("plan %+v\nwant %+v", settings.Plans[0], wantPlan)
	}
	rules := settings.Rules
	if rules.OrderedKeyQuietPeriod != 200*ms || rules.SlowStartAllowance != 37 || settings.Sizes.MaxUnits != 6 {
		t.Errorf("rules %+v and sizes %+v, want OrderedKeyQuietPeriod 200ms, SlowStartAllowance 37, MaxUnits 6",
			rules, settings.Sizes)
	}
}

func TestMalformedInputNamesTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"flush\n":                  "line 1: want tag \"round\"",
		"round\n":                  "line 1: tsMs",
		"round\ttsMs=x\nflush\n":   "line 1: tsMs",
		"round\ttsMs=1\n":          "line 1: input ends",
		"round\ttsMs=1\nflush":     "line 1: last line does not end",
		"round\ttsMs=NaN\nflush\n": "line 1: tsMs",
		"round\ttsMs=1\nalarm\twho=1\tkeyBack=-4\nflush\n":                    "line 2: alarm: keyBack",
		"round\ttsMs=1\nalarm\tkeyBack=4\nflush\n":                            "line 2: alarm: who",
		"round\ttsMs=1\nannounce\twho=1\tmode=all\tbank=3\nflush\n":           "line 2: announce: bank 3",
		"round\ttsMs=1\nannounce\twho=1\tmode=odd\tbank=3\nflush\n":           "line 2: announce: unknown mode \"odd\"",
		"round\ttsMs=1\ncatalog\tbank=16\tmembersList=0\nflush\n":             "line 2: catalog: bank 16",
		"round\ttsMs=1\ncatalog\tbank=1\tmembersList=2\nflush\n":              "line 3: catalog: want 2 lines with",
		"round\ttsMs=1\ninit\twho=1\tinitSeed=1\tconf={\nflush\n":             "line 2: init: conf",
		"round\ttsMs=1\nresponse\twho=1\topId=a\tn=0\tnode=b\tstatus=so\n":    "line 2: response: unknown status",
		"round\ttsMs=1\ningress\twho=1\tpriority=0\tpatienceLeftMs=1\n":       "line 2: ingress: opId",
		"round\ttsMs=1\necho\twho=1\tnode=b\trttMs=1\tstats=rif:x\nflush\n":   "line 2: echo: stats",
		"round\ttsMs=1\necho\twho=1\tnode=b\trttMs=1\tstats=q:NaN\nflush\n":   "line 2: echo: stats",
		"round\ttsMs=1\necho\twho=1\tnode=b\trttMs=1\tstats=q:1e300\nflush\n": "line 2: echo: stats",
	} {
		if _, err := decodeAll(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that begins with %q", text, err, want)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add("round\ttsMs=1\ninit\twho=1\tinitSeed=1\tconf=" + settingsText + "\nflush\n")
	f.Add("round\ttsMs=1\ncatalog\tbank=1\tmembersList=1\nitem\tnode=a\tcluster=0\tphase=up\nflush\n")
	f.Add("round\ttsMs=1\nresponse\twho=1\topId=a\tn=0\tnode=b\tstatus=completed\trttMs=1\tstats=q:1\nflush\n")
	f.Fuzz(func(t *testing.T, text string) {
		first, err := decodeAll(text)
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Fatalf("got error %q, want one that begins with \"line \"", err)
		}
		second, _ := decodeAll(text)
		if a, b := mustJSON(t, first), mustJSON(t, second); a != b {
			t.Fatalf("the same input was decoded to different batches:\n%s\n%s", a, b)
		}
	})
}

func mustJSON(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
