package simprotocol

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"reachpulley/scheduler"
)

const confText = `{"siblings":3,"zone":2,"tickMs":2.0,"membershipMode":"ask","strange":[1],` +
	`"callers":{"marksRetry":true},` +
	`"ceilings":{"cancel":true,"maxAttempts":4,"maxRetryAfterMs":1000.0,"probes":true,"retryAfter":true},` +
	`"classes":[{"aimMs":300.0,"deadlineMs":2500.0,"idempotency":"deduplicated","inTurn":true,` +
	`"keyScope":"cell","lateShare":0.2,"name":"w","points":2.0,"stream":false,"windowMs":4000.0}],` +
	`"contract":{"coldFrom":0.16,"drainGraceMs":500.0,"overloadForMs":3000.0,"turnGapMs":200.0,` +
	`"warmWithinMs":17000.0},"familyInfo":{"meanUnits":2.08,"mostUnits":6,"youngLimit":37.0},` +
	`"policies":[{"baseRate":3.6,"cap":7.2,"guaranteed":1.8,"limitSlack":0.5,"mostAtOnce":9,"name":"p",` +
	`"price":0.8,"proportion":3.0}],"report":{"fields":["rif"],"via":"on_probe"}}`

func decodeAll(text string) ([]Batch, error) {
	d := NewDecoder(strings.NewReader(text))
	var all []Batch
	for {
		b, err := d.Next()
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, b)
	}
}

func TestDecodesEveryEvent(t *testing.T) {
	text := "round\ttsMs=1.5\nflush\n" +
		"round\ttsMs=8412.25\textra=1\n" +
		"init\twho=3\tinitSeed=42\tconf=" + confText + "\n" +
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
	all, err := decodeAll(text)
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 2 || len(all[0].Events) != 0 || all[1].Now != 8412250*time.Microsecond {
		t.Fatalf("batches: %+v", all)
	}
	e := all[1].Events
	s := e[0].Settings
	if e[0].Kind != Start || e[0].Seed != 42 || s.Siblings != 3 || !s.PollMembership {
		t.Errorf("settings: %+v", s)
	}
	wantClass := scheduler.Class{Name: "w", LatencyObjective: 300 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 2,
		LateWeightShare: 0.2, Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeShard, DedupWindow: 4 * time.Second, Ordered: true}
	if s.Classes[0] != wantClass {
		t.Errorf("class: %+v", s.Classes[0])
	}
	wantPlan := scheduler.Plan{Name: "p", Rate: 3.6, Reserve: 1.8, Limit: 7.2, Burst: 9, Slack: 0.5, Weight: 3, Price: 0.8}
	if s.Plans[0] != wantPlan {
		t.Errorf("plan: %+v", s.Plans[0])
	}
	if s.Rules.OrderedKeyQuietPeriod != 200*time.Millisecond || s.Rules.SlowStartAllowance != 37 || s.Sizes.MaxUnits != 6 {
		t.Errorf("rules: %+v", s.Rules)
	}
	want := []Event{
		{Kind: Members, Instance: 3, Membership: scheduler.Membership{Kind: scheduler.CachedList, Nodes: []scheduler.Node{
			{ID: "na", Size: 1}, {ID: "nb", Zone: 1, Shard: 4, Phase: scheduler.Draining, Size: 1.5, StartedAt: 6100 * time.Millisecond}}}},
		{Kind: Members, Instance: 3, Membership: scheduler.Membership{Kind: scheduler.DeltaList, Nodes: []scheduler.Node{
			{ID: "nc", Shard: 1, Phase: scheduler.Removed, Size: 1}}}},
		{Kind: Members, Instance: 3, Membership: scheduler.Membership{Kind: scheduler.WatchFailed}},
		{Kind: Arrival, Instance: 3, Request: scheduler.Request{ID: "t/a", Volume: "2b8e", Key: "91f0", Units: 2,
			Shard: scheduler.AnyShard, ClientTimeout: 240 * time.Millisecond, Hosts: 3}},
		{Kind: Probed, Instance: 3, Probe: scheduler.ProbeResult{Node: "na", Served: true, Latency: 1400 * time.Microsecond,
			Load: &scheduler.Load{InFlight: 7, Queued: 3, Busy: -1}}},
		{Kind: Began, Instance: 3, Outcome: scheduler.Outcome{ID: "t/a", Node: "na", Latency: 9250 * time.Microsecond, VolumeUse: -1}},
		{Kind: Ended, Instance: 3, Outcome: scheduler.Outcome{ID: "t/a", Attempt: 1, Node: "na", Result: scheduler.ConnectionReset,
			Latency: 18500 * time.Microsecond, Concluded: true, VolumeUse: 0.85, OtherUnits: 3}},
		{Kind: Left, Instance: 5, ID: "t/b"},
		{Kind: TimerFired, Instance: 3, Timer: 77},
		{Kind: Stop, Instance: 3},
	}
	if len(e) != len(want)+1 {
		t.Fatalf("%d events, want %d", len(e), len(want)+1)
	}
	for i, w := range want {
		if !reflect.DeepEqual(e[i+1], w) {
			t.Errorf("event %d:\ngot  %+v\nwant %+v", i+1, e[i+1], w)
		}
	}
}

func TestMalformedInputNamesTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"flush\n":                  "line 1: want round",
		"round\n":                  "line 1: tsMs",
		"round\ttsMs=x\nflush\n":   "line 1: tsMs",
		"round\ttsMs=1\n":          "line 1: input ends",
		"round\ttsMs=1\nflush":     "line 1: line without",
		"round\ttsMs=NaN\nflush\n": "line 1: tsMs",
		"round\ttsMs=1\nalarm\twho=1\tkeyBack=-4\nflush\n":                    "line 2: alarm: keyBack",
		"round\ttsMs=1\nalarm\tkeyBack=4\nflush\n":                            "line 2: alarm: who",
		"round\ttsMs=1\nannounce\twho=1\tmode=all\tbank=3\nflush\n":           "line 2: announce: bank 3",
		"round\ttsMs=1\nannounce\twho=1\tmode=odd\tbank=3\nflush\n":           "line 2: announce: unknown mode",
		"round\ttsMs=1\ncatalog\tbank=16\tmembersList=0\nflush\n":             "line 2: catalog: bank 16",
		"round\ttsMs=1\ncatalog\tbank=1\tmembersList=2\nflush\n":              "line 3: catalog: want 2 items",
		"round\ttsMs=1\ninit\twho=1\tinitSeed=1\tconf={\nflush\n":             "line 2: init: conf",
		"round\ttsMs=1\nresponse\twho=1\topId=a\tn=0\tnode=b\tstatus=so\n":    "line 2: response: unknown status",
		"round\ttsMs=1\ningress\twho=1\tpriority=0\tpatienceLeftMs=1\n":       "line 2: ingress: opId",
		"round\ttsMs=1\necho\twho=1\tnode=b\trttMs=1\tstats=rif:x\nflush\n":   "line 2: echo: stats",
		"round\ttsMs=1\necho\twho=1\tnode=b\trttMs=1\tstats=q:NaN\nflush\n":   "line 2: echo: stats",
		"round\ttsMs=1\necho\twho=1\tnode=b\trttMs=1\tstats=q:1e300\nflush\n": "line 2: echo: stats",
	} {
		if _, err := decodeAll(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

func TestSettingsOfWrongTypeAreRefused(t *testing.T) {
	for _, spoil := range [][2]string{{`"siblings":3`, `"siblings":"three"`}, {`"ask"`, `"guess"`},
		{`"deduplicated"`, `"perhaps"`}, {`"cell"`, `"planet"`}, {`"on_probe"`, `"by_post"`}} {
		if _, err := ParseSettings([]byte(strings.Replace(confText, spoil[0], spoil[1], 1))); err == nil {
			t.Errorf("%s was taken", spoil[1])
		}
	}
}

func TestEncodesEveryAction(t *testing.T) {
	var b bytes.Buffer
	e := NewEncoder(&b)
	i := Instance{e, 3}
	i.Send("t/a", "na", 0)
	i.Send("t/a", "na", 80*time.Millisecond)
	i.Cancel("t/a", 1)
	i.Reject("t/a", 0)
	i.Reject("t/a", 250*time.Millisecond)
	i.Fail("t/a")
	i.Probe("na")
	i.SetTimer(1500*time.Microsecond, 77)
	i.Watch()
	i.Log("two\tlines\nhere")
	e.Fault(3, "bad\nsettings")
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := `deliver	who=3	opId=t/a	node=na
deliver	who=3	opId=t/a	node=na	limitMs=80
cancel	who=3	opId=t/a	n=1
busy	who=3	opId=t/a
busy	who=3	opId=t/a	waitMs=250
give_up	who=3	opId=t/a
touch	who=3	node=na
schedule	who=3	waitMs=1.5	keyBack=77
stream_changes	who=3	want=1
trace	who=3	msg=two lines here
fatal	who=3	msg=bad settings
ack
`
	if b.String() != want {
		t.Fatalf("got\n%s", b.String())
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add("round\ttsMs=1\ninit\twho=1\tinitSeed=1\tconf=" + confText + "\nflush\n")
	f.Add("round\ttsMs=1\ncatalog\tbank=1\tmembersList=1\nitem\tnode=a\tcluster=0\tphase=up\nflush\n")
	f.Add("round\ttsMs=1\nresponse\twho=1\topId=a\tn=0\tnode=b\tstatus=completed\trttMs=1\tstats=q:1\nflush\n")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := decodeAll(text)
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Fatalf("error names no line: %v", err)
		}
		again, _ := decodeAll(text)
		if a, b := mustJSON(t, all), mustJSON(t, again); a != b {
			t.Fatalf("decoded differently:\n%s\n%s", a, b)
		}
	})
}

func mustJSON(t *testing.T, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
