package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/config"
)

func TestRepeatedLinesAreThinnedOutAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := New(&out, config.Log{Repeat: time.Second}, false)
		for i := range 100 {
			log.With("n", i).Info("same")
			log.Error("fault")
		}
		time.Sleep(time.Second)
		log.Info("same")
		if n := strings.Count(out.String(), `"same"`); n != MostRepeats+1 {
			t.Errorf("%d lines", n)
		}
		if n := strings.Count(out.String(), `"fault"`); n != 100 {
			t.Errorf("%d errors", n)
		}
		if !strings.Contains(out.String(), `"left_out":90}`) {
			t.Error("what was left out is not told")
		}
	})
}

func TestMessagesAreBounded(t *testing.T) {
	c := &counts{every: time.Hour, of: map[string]*count{}}
	for i := range 2 * mostMessages {
		c.take(fmt.Sprint(i))
	}
	if len(c.of) != mostMessages {
		t.Errorf("%d messages are held", len(c.of))
	}
}

func TestText(t *testing.T) {
	var out bytes.Buffer
	New(&out, config.Log{Format: config.LogText}, false).Info("serving", "name", "n")
	if !strings.HasSuffix(out.String(), "INF serving name=n\n") {
		t.Errorf("%q", out.String())
	}
}
