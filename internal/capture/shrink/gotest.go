package shrink

import (
	"fmt"
	"time"
)

// GoTestSource returns the source of a Go test. The test reads a case from a file in its directory and checks that the
// property does not hold on it any more.
func GoTestSource(name, file string, p Property) string {
	return fmt.Sprintf(`package scheduler_test

import (
	"bytes"
	"os"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/shrink"
)

// The capture was shrunk on %s, when the property %q held on it.
func Test%s(t *testing.T) {
	file, err := os.ReadFile(%q)
	if err != nil {
		t.Fatal(err)
	}
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	shrunk, err := shrink.Read(reader)
	if err != nil {
		t.Fatal(err)
	}
	property, err := shrink.Parse(%q)
	if err != nil {
		t.Fatal(err)
	}
	if held, err := shrunk.Holds(property); err != nil || held {
		t.Errorf("property %%q holds: %%t, error: %%v", property, held, err)
	}
}
`, time.Now().UTC().Format(time.DateOnly), p, name, file, p.text)
}
