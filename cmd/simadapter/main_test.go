package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const conf = `{"siblings":2,"membershipMode":"push","ceilings":{"cancel":true,"maxAttempts":4,"retryAfter":true,` +
	`"maxRetryAfterMs":1000},"classes":[{"aimMs":300,"deadlineMs":2500,"idempotency":"idempotent","name":"r",` +
	`"points":2}],"contract":{},"familyInfo":{"meanUnits":2,"mostUnits":6},` +
	`"policies":[{"baseRate":3,"guaranteed":2,"name":"p","price":1,"proportion":1}],"report":{"via":"off"}}`

// script plays some time to the given instances and gives the reply lines of each.
func script(t *testing.T, instances ...int) map[int]string {
	t.Helper()
	var in bytes.Buffer
	each := func(format string, args ...any) {
		for _, i := range instances {
			fmt.Fprintf(&in, format+"\twho=%d\n", append(args, i)...)
		}
	}
	in.WriteString("round\ttsMs=1000\ncatalog\tbank=0\tmembersList=2\nitem\tnode=a\tcluster=0\tphase=up\n" +
		"item\tnode=b\tcluster=1\tphase=up\n")
	for _, i := range instances {
		fmt.Fprintf(&in, "init\twho=%d\tinitSeed=%d\tconf=%s\nannounce\twho=%d\tmode=remembered\tbank=0\n", i, i, conf, i)
	}
	in.WriteString("flush\n")
	for n := range 300 {
		fmt.Fprintf(&in, "round\ttsMs=%d\n", 1002+2*n)
		each("ingress\topId=t/%d\tpriority=0\tserviceLevel=0\tpatienceLeftMs=900\tstoreUser=v%d\tcostUnits=%d\thomeCell=%d",
			n, n%4, 1+n%6, n%3-1)
		each("alarm\tkeyBack=0")
		in.WriteString("flush\n")
	}
	var out bytes.Buffer
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	replies := map[int]string{}
	for line := range strings.Lines(out.String()) {
		for _, i := range instances {
			if strings.Contains(line, fmt.Sprintf("\twho=%d\t", i)) || strings.HasSuffix(line, fmt.Sprintf("\twho=%d\n", i)) {
				replies[i] += line
			}
		}
	}
	return replies
}

func TestInstancesActAlikeTogetherAndApart(t *testing.T) {
	together := script(t, 1, 2, 3)
	for i := 1; i <= 3; i++ {
		apart := script(t, i)[i]
		if strings.Count(apart, "deliver") < 5 || strings.Count(apart, "busy") < 5 {
			t.Fatalf("the script asks too little: %s", apart)
		}
		if together[i] != apart {
			t.Errorf("instance %d acts differently in company", i)
		}
	}
	if together[1] == strings.ReplaceAll(together[2], "who=2", "who=1") {
		t.Error("the seed makes no difference")
	}
}

func TestRestartInOneBatchForgetsEverything(t *testing.T) {
	start := "init\twho=1\tinitSeed=1\tconf=" + conf + "\nannounce\twho=1\tmode=remembered\tbank=0\n"
	in := "round\ttsMs=1\ncatalog\tbank=0\tmembersList=1\nitem\tnode=a\tcluster=0\tphase=up\n" + start +
		"ingress\twho=1\topId=t/1\tpriority=0\tpatienceLeftMs=900\thomeCell=0\n" +
		"power_off\twho=1\n" + start +
		"response\twho=1\topId=t/1\tn=0\tnode=a\tstatus=errored\trttMs=1\nflush\n"
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "deliver"); n != 1 {
		t.Fatalf("%d sends in\n%s", n, out.String())
	}
}

func TestFaults(t *testing.T) {
	var out bytes.Buffer
	err := serve(strings.NewReader("round\ttsMs=1\nalarm\twho=4\tkeyBack=0\nflush\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "instance 4 before its init") {
		t.Errorf("event before init: %v", err)
	}
	if err := serve(strings.NewReader("nonsense\n"), &out); err == nil {
		t.Error("nonsense was taken")
	}
	out.Reset()
	bad := strings.Replace(conf, `"siblings":2`, `"siblings":0`, 1)
	if err := serve(strings.NewReader("round\ttsMs=1\ninit\twho=1\tinitSeed=1\tconf="+bad+"\nflush\n"), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "fatal\twho=1\tmsg=scheduler: ") {
		t.Errorf("settings: %q", out.String())
	}
	out.Reset()
	if err := serve(strings.NewReader("round\ttsMs=1\nflush\n"), &out); err != nil || out.String() != "ack\n" {
		t.Errorf("empty batch: %v %q", err, out.String())
	}
}
