package shrink

import (
	"bytes"
	"fmt"
	"go/parser"
	"go/token"
	"slices"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// recordCase records a random workload as a case.
func recordCase(t *testing.T, seed uint64) *Case {
	t.Helper()
	workload := capturetest.NewWorkload(seed)
	recorder, err := capture.NewRecorder(capturetest.Settings, seed, capture.Options{MaxBytes: 8 << 20}, workload)
	if err != nil {
		t.Fatal(err)
	}
	workload.Play(recorder, 400)
	file, err := recorder.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Read(openFile(t, file))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func openFile(t *testing.T, file []byte) *capture.Reader {
	t.Helper()
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	return reader
}

func parse(t *testing.T, text string) Property {
	t.Helper()
	p, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// findProperties returns up to maxCount properties that hold on a case.
func findProperties(t *testing.T, c *Case, maxCount int) (found []Property) {
	t.Helper()
	for id := range 400 {
		for _, kind := range []string{kindRejected, kindFailed, kindSent} {
			p := parse(t, fmt.Sprint(kind, "=", id))
			if held, err := c.Holds(p); err == nil && held && len(found) < maxCount {
				found = append(found, p)
			}
		}
	}
	return found
}

// A shrunk case still has the property, can be replayed, and no event of it can be left out.
func TestShrunkCaseIsMinimal(t *testing.T) {
	whole := recordCase(t, 1)
	properties := findProperties(t, whole, 12)
	if len(properties) < 5 {
		t.Errorf("%d properties hold on the case, want at least 5", len(properties))
	}
	for _, p := range properties {
		t.Run(p.String(), func(t *testing.T) {
			shrunk, err := whole.Shrink(p, 5000, nil)
			if err != nil {
				t.Fatal(err)
			}
			if held, err := shrunk.Holds(p); err != nil || !held || len(shrunk.Events) > 16 {
				t.Errorf("property holds on the shrunk case: %t, error: %v, %d events of at most 16",
					held, err, len(shrunk.Events))
			}
			checkMinimal(t, shrunk, p)
			file, err := shrunk.Capture()
			if err != nil {
				t.Fatal(err)
			}
			if events, err := capture.Replay(openFile(t, file)); err != nil || events != len(shrunk.Events) {
				t.Errorf("%d events of the shrunk case replayed, want all %d; error: %v",
					events, len(shrunk.Events), err)
			}
		})
	}
	_, err := whole.Shrink(parse(t, "breach"), 100, nil)
	if err == nil || !strings.Contains(err.Error(), "does not hold") {
		t.Errorf("error %v, want one that says that the property does not hold", err)
	}
}

// checkMinimal checks that no event can be left out.
func checkMinimal(t *testing.T, c *Case, p Property) {
	t.Helper()
	for i := range c.Events {
		smaller := *c
		smaller.Events = slices.Delete(slices.Clone(c.Events), i, i+1)
		if held, _ := smaller.Holds(p); held && len(smaller.Events) > 0 {
			t.Errorf("event %d of %d can be left out, want a minimal case", i, len(c.Events))
		}
	}
}

// A request with class 0 and plan 0 that is inserted among the events does not crash the Scheduler, so a crash is not
// a property of the case.
func TestInsertedRequestCausesNoCrash(t *testing.T) {
	c := recordCase(t, 2)
	unexpected := capture.Record{
		Kind:    capture.KindRequestArrived,
		At:      c.Events[50].At,
		Request: &scheduler.Request{ID: "x", Volume: "v0", ClientTimeout: time.Second, Hosts: 1},
	}
	c.Events = slices.Insert(c.Events, 50, unexpected)
	if held, err := c.Holds(parse(t, "crash")); held || err != nil {
		t.Errorf("crash: %t, error: %v; want no crash and no error", held, err)
	}
}

func TestParseRejectsUnknownProperties(t *testing.T) {
	for _, text := range []string{"", "sent", "sent=", "refused=a@b", "breach=nothing", "late=5"} {
		t.Run(text, func(t *testing.T) {
			if _, err := Parse(text); err == nil {
				t.Errorf("property %q was accepted, want an error", text)
			}
		})
	}
	if _, err := Parse("breach=drain"); err != nil {
		t.Errorf("a valid property was rejected: %v", err)
	}
}

func TestGeneratedTestIsValidGo(t *testing.T) {
	source := GoTestSource("NobodyIsSentTwice", "testdata/a.capture", parse(t, "sent=7@n1"))
	_, err := parser.ParseFile(token.NewFileSet(), "x_test.go", source, 0)
	if err != nil || !strings.Contains(source, "func TestNobodyIsSentTwice(") {
		t.Errorf("generated test is not valid Go (error: %v) or is not named TestNobodyIsSentTwice:\n%s", err, source)
	}
}
