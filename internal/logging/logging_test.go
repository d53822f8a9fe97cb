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

func TestRepeatedMessagesAreSuppressedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := New(&out, config.Log{Repeat: time.Second}, false)
		for i := range 100 {
			log.With("n", i).Info("same")
			log.Error("fault")
		}
		time.Sleep(time.Second)
		log.Info("same")
		if n := strings.Count(out.String(), `"same"`); n != MaxRepeats+1 {
			t.Errorf("%d lines with the repeated message, want %d", n, MaxRepeats+1)
		}
		if n := strings.Count(out.String(), `"fault"`); n != 100 {
			t.Errorf("%d lines with the error, want 100", n)
		}
		if !strings.Contains(out.String(), `"suppressed":90}`) {
			t.Errorf("log output lacks a line that ends with %q:\n%s", `"suppressed":90}`, out.String())
		}
	})
}

func TestCountedMessagesAreBounded(t *testing.T) {
	messages := newMessageCounts(time.Hour)
	for i := range 2 * maxMessages {
		messages.count(fmt.Sprint(i))
	}
	if len(messages.counts) != maxMessages {
		t.Errorf("%d messages are counted, want %d", len(messages.counts), maxMessages)
	}
}

func TestTextFormat(t *testing.T) {
	var out bytes.Buffer
	New(&out, config.Log{Format: config.LogText}, false).Info("serving", "name", "n")
	if !strings.HasSuffix(out.String(), "INF serving name=n\n") {
		t.Errorf("log output %q, want the suffix %q", out.String(), "INF serving name=n\n")
	}
}
