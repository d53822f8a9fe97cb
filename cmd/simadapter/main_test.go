package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// settings are valid settings of an instance, as the simulator sends them.
const settings = `{"siblings":2,"membershipMode":"push","ceilings":{"cancel":true,"maxAttempts":4,"retryAfter":true,` +
	`"maxRetryAfterMs":1000},"classes":[{"aimMs":300,"deadlineMs":2500,"idempotency":"idempotent","name":"r",` +
	`"points":2}],"contract":{},"familyInfo":{"meanUnits":2,"mostUnits":6},` +
	`"policies":[{"baseRate":3,"guaranteed":2,"name":"p","price":1,"proportion":1}],"report":{"via":"off"}}`

// nodeList returns the messages that declare an endpoint list with a number of nodes.
func nodeList(nodes int) string {
	text := fmt.Sprintf("catalog\tbank=0\tmembersList=%d\n", nodes)
	for i := range nodes {
		text += fmt.Sprintf("item\tnode=%c\tcluster=%d\tphase=up\n", 'a'+i, i)
	}
	return text
}

// startInstance returns the messages that start an instance, with its number as its seed, and send it the endpoint
// list.
func startInstance(number int) string {
	return fmt.Sprintf("init\twho=%d\tinitSeed=%d\tconf=%s\n", number, number, settings) +
		fmt.Sprintf("announce\twho=%d\tmode=remembered\tbank=0\n", number)
}

// mixedLoad returns messages that start instances and send each of them the same 300 batches of a request and a timer.
func mixedLoad(instances []int) *bytes.Buffer {
	var input bytes.Buffer
	input.WriteString("round\ttsMs=1000\n" + nodeList(2))
	for _, instance := range instances {
		input.WriteString(startInstance(instance))
	}
	input.WriteString("flush\n")
	for n := range 300 {
		fmt.Fprintf(&input, "round\ttsMs=%d\n", 1002+2*n)
		request := fmt.Sprintf("ingress\topId=t/%d\tpriority=0\tserviceLevel=0\tpatienceLeftMs=900\t", n) +
			fmt.Sprintf("storeUser=v%d\tcostUnits=%d\thomeCell=%d", n%4, 1+n%6, n%3-1)
		for _, instance := range instances {
			fmt.Fprintf(&input, "%s\twho=%d\n", request, instance)
		}
		for _, instance := range instances {
			fmt.Fprintf(&input, "alarm\tkeyBack=0\twho=%d\n", instance)
		}
		input.WriteString("flush\n")
	}
	return &input
}

// replies sends a mixed load to instances, and returns the lines of the replies by the number of their instance.
func replies(t *testing.T, instances ...int) map[int]string {
	t.Helper()
	var output bytes.Buffer
	if err := serve(mixedLoad(instances), &output); err != nil {
		t.Fatal(err)
	}
	lines := map[int]string{}
	for line := range strings.Lines(output.String()) {
		for _, instance := range instances {
			who := fmt.Sprintf("\twho=%d", instance)
			if strings.Contains(line, who+"\t") || strings.HasSuffix(line, who+"\n") {
				lines[instance] += line
			}
		}
	}
	return lines
}

func TestInstancesAreIndependent(t *testing.T) {
	together := replies(t, 1, 2, 3)
	for instance := 1; instance <= 3; instance++ {
		alone := replies(t, instance)[instance]
		if strings.Count(alone, "deliver") < 5 || strings.Count(alone, "busy") < 5 {
			t.Fatalf("instance %d: the load causes fewer than 5 sends or fewer than 5 rejections: %s", instance, alone)
		}
		if diff := cmp.Diff(alone, together[instance]); diff != "" {
			t.Errorf("instance %d acts differently beside other instances (-alone +together):\n%s", instance, diff)
		}
	}
	if together[1] == strings.ReplaceAll(together[2], "who=2", "who=1") {
		t.Error("instances 1 and 2 act alike, want different actions as their seeds differ")
	}
}

func TestRestartWithinOneBatchClearsState(t *testing.T) {
	input := "round\ttsMs=1\n" + nodeList(1) + startInstance(1) +
		"ingress\twho=1\topId=t/1\tpriority=0\tpatienceLeftMs=900\thomeCell=0\n" +
		"power_off\twho=1\n" + startInstance(1) +
		"response\twho=1\topId=t/1\tn=0\tnode=a\tstatus=errored\trttMs=1\nflush\n"
	var output bytes.Buffer
	if err := serve(strings.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	if sends := strings.Count(output.String(), "deliver"); sends != 1 {
		t.Fatalf("%d sends, want 1, in\n%s", sends, output.String())
	}
}

func TestInvalidAndEmptyBatches(t *testing.T) {
	var output bytes.Buffer
	err := serve(strings.NewReader("round\ttsMs=1\nalarm\twho=4\tkeyBack=0\nflush\n"), &output)
	if err == nil || !strings.Contains(err.Error(), "at clock 1ms: event for instance 4, which no init has started") {
		t.Errorf("event for an instance that has not been started: error %v, want one that names the instance", err)
	}
	if err := serve(strings.NewReader("nonsense\n"), &output); err == nil {
		t.Error("serve of a malformed batch returned no error, want one")
	}
	output.Reset()
	unusable := strings.Replace(settings, `"siblings":2`, `"siblings":0`, 1)
	input := "round\ttsMs=1\ninit\twho=1\tinitSeed=1\tconf=" + unusable + "\nflush\n"
	if err := serve(strings.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(output.String(), "fatal\twho=1\tmsg=scheduler: ") {
		t.Errorf("unusable settings: reply %q, want a fatal line for instance 1", output.String())
	}
	output.Reset()
	if err := serve(strings.NewReader("round\ttsMs=1\nflush\n"), &output); err != nil || output.String() != "ack\n" {
		t.Errorf("empty batch: error %v, reply %q, want \"ack\\n\" and no error", err, output.String())
	}
}
