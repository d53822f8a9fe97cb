package shrink

import (
	"bytes"
	"fmt"
	"go/parser"
	"go/token"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// day is a random day as a case.
func day(t *testing.T, seed uint64) *Case {
	t.Helper()
	w := capturetest.NewWorkload(seed)
	r, err := capture.NewRecorder(capturetest.Settings, seed, capture.Options{MaxBytes: 8 << 20}, w)
	if err != nil {
		t.Fatal(err)
	}
	w.Play(r, 400)
	file, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	c, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	one, err := Read(c)
	if err != nil {
		t.Fatal(err)
	}
	return one
}

func property(t *testing.T, text string) Property {
	t.Helper()
	p, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What is left still has the property, replays, and can lose no event.
func TestShrink(t *testing.T) {
	one := day(t, 1)
	found := 0
	for i := range 400 {
		for _, kind := range []string{"refused", "failed", "sent"} {
			p := property(t, fmt.Sprint(kind, "=", i))
			if held, err := one.Holds(p); err != nil || !held || found >= 12 {
				continue
			}
			found++
			small, err := one.Shrink(p, 5000, nil)
			if err != nil {
				t.Fatal(err)
			}
			if held, err := small.Holds(p); err != nil || !held || len(small.Events) > 16 {
				t.Errorf("%s: %v, %v, %d events", p, held, err, len(small.Events))
			}
			for leave := range small.Events {
				less := *small
				less.Events = append(append([]capture.Record{}, small.Events[:leave]...), small.Events[leave+1:]...)
				if held, _ := less.Holds(p); held && len(less.Events) > 0 {
					t.Errorf("%s: event %d of %d can be left out", p, leave, len(small.Events))
				}
			}
			file, err := small.Capture()
			if err != nil {
				t.Fatal(err)
			}
			c, err := capture.NewReader(bytes.NewReader(file))
			if err != nil {
				t.Fatal(err)
			}
			if n, err := capture.Replay(c); err != nil || n != len(small.Events) {
				t.Errorf("%s: %d of %d events, %v", p, n, len(small.Events), err)
			}
		}
	}
	if found < 5 {
		t.Errorf("%d properties", found)
	}
	if _, err := one.Shrink(property(t, "breach"), 100, nil); err == nil || !strings.Contains(err.Error(), "does not hold") {
		t.Error(err)
	}
}

// A crash can be kept: here by an event that tells nothing.
func TestCrash(t *testing.T) {
	one := day(t, 2)
	broken := capture.Record{Kind: capture.KindRequestArrived, At: one.Events[50].At, Request: &scheduler.Request{ID: "x", Volume: "v0", ClientTimeout: time.Second, Plan: 0, Hosts: 1}}
	one.Events = append(one.Events[:50:50], append([]capture.Record{broken}, one.Events[50:]...)...)
	if held, err := one.Holds(property(t, "crash")); held || err != nil {
		t.Error(held, err)
	}
}

func TestParse(t *testing.T) {
	for _, bad := range []string{"", "sent", "sent=", "refused=a@b", "breach=nothing", "late=5"} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	if _, err := Parse("breach=drain"); err != nil {
		t.Error(err)
	}
	text := Test("NobodyIsSentTwice", "testdata/a.capture", property(t, "sent=7@n1"))
	if _, err := parser.ParseFile(token.NewFileSet(), "x_test.go", text, 0); err != nil || !strings.Contains(text, "func TestNobodyIsSentTwice(") {
		t.Errorf("%v\n%s", err, text)
	}
}
