package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"reachpulley/examples"
	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
)

// aCapture writes a random day into a file, and each of its parts into one.
func aCapture(t *testing.T) (whole string, parts []string) {
	t.Helper()
	w := capturetest.NewWorkload(5)
	pieces := &split{}
	r, err := capture.NewRecorder(capturetest.Settings, 5, capture.Options{Program: "test", MaxBytes: 400_000, Sink: pieces, Origin: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}, w)
	if err != nil {
		t.Fatal(err)
	}
	w.Play(r, 4000)
	r.Flush(time.Hour)
	directory := t.TempDir()
	put := func(name string, content []byte) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	var all []byte
	for i, part := range pieces.parts {
		head, err := capture.EncodeHeader(pieces.head)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			all = append(all, head...)
		}
		all = capture.AppendBlock(all, part, true)
		parts = append(parts, put("part-"+string(rune('a'+i)), capture.AppendBlock(head, part, true)))
	}
	return put("whole", all), parts
}

// split is a sink that keeps parts apart.
type split struct {
	head  *capture.Head
	parts [][]byte
}

func (s *split) Offer(p capture.Chunk) bool {
	s.head = p.Head
	if p.StartsPart {
		s.parts = append(s.parts, nil)
	}
	last := &s.parts[len(s.parts)-1]
	*last = append(*last, p.Frames...)
	return true
}

func TestCaptureCommands(t *testing.T) {
	whole, parts := aCapture(t)
	if len(parts) < 4 {
		t.Fatalf("%d parts", len(parts))
	}
	at := func(name string) string { return filepath.Join(filepath.Dir(whole), name) }
	spoilt := at("spoilt")
	content, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	content[len(content)-9] ^= 1
	if err := os.WriteFile(spoilt, content, 0o600); err != nil {
		t.Fatal(err)
	}
	var example struct{ Settings json.RawMessage }
	if err := json.Unmarshal(examples.Config(), &example); err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{"key": []byte("a key of sixteen bytes\n"), "short": []byte("short"), "config.json": examples.Config()} {
		if err := os.WriteFile(at(name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	// The other build says what this one does.
	_, says, _ := call(t, nil, "replay", "--tally", whole)
	for name, script := range map[string]string{"other": "#!/bin/sh\ncat <<'END'\n" + says + "END\n", "mute": "#!/bin/sh\necho no\n"} {
		if err := os.WriteFile(at(name), []byte(script), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	anyID := ""
	if _, out, _ := call(t, nil, "capture", "export", whole); true {
		_, after, _ := strings.Cut(out, `"Kind":"send"`)
		_, after, _ = strings.Cut(after, `"ID":"`)
		anyID, _, _ = strings.Cut(after, `"`)
	}
	// One action is another than decided.
	func() {
		f, c, err := open(whole)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		var all []capture.Record
		changed := false
		for r, err := c.Next(); err == nil; r, err = c.Next() {
			if r.Kind == capture.KindSend && len(all) > 600 && !changed {
				r.Node, changed = "elsewhere", true
			}
			all = append(all, *r)
		}
		file, err := capture.Compress(c.Head, all)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(at("other-action"), file, 0o600); err != nil {
			t.Fatal(err)
		}
	}()
	for _, c := range []struct {
		args []string
		code int
		out  []string
	}{
		{[]string{"rooms", "state", whole}, exitGood, []string{"room  tier  believed", "answer  silent of those asked", "may spill now:", "(this gateway's part of 20.0)"}},
		{[]string{"capture", "info", whole}, exitGood, []string{"recorded by test, format 5", "0 gaps", "class", "connect failed"}},
		{[]string{"capture", "verify", whole}, exitGood, []string{"every block whole, 0 gaps"}},
		{[]string{"capture", "verify", "--rules", whole}, exitGood, []string{"drain: asked", "0 breaches"}},
		{[]string{"replay", at("other-action")}, exitFailed, []string{"recorded send", "elsewhere", "node ", "volume "}},
		{[]string{"capture", "verify", spoilt}, exitUsage, []string{"the capture is damaged"}},
		{[]string{"capture", "merge", at("merged"), parts[0], parts[1]}, exitGood, []string{"bytes written"}},
		{[]string{"replay", at("merged")}, exitGood, []string{"replayed twice, every action as recorded"}},
		{[]string{"capture", "merge", at("merged"), parts[0]}, exitUsage, []string{"is there already"}},
		{[]string{"capture", "merge", at("holed"), parts[0], parts[2]}, exitGood, []string{"bytes written"}},
		{[]string{"replay", at("holed")}, exitUsage, []string{"records were lost: 1 gaps"}},
		{[]string{"capture", "merge", at("turned"), parts[1], parts[0]}, exitUsage, []string{"before the end of the file before it"}},
		{[]string{"capture", "cut", "--from", "07:00:05", "--to", "1h0m7s", whole, at("cut")}, exitGood, []string{"bytes written"}},
		{[]string{"replay", at("cut")}, exitGood, []string{"every action as recorded"}},
		{[]string{"capture", "cut", "--from", "1h9m", whole, at("none")}, exitGood, []string{"bytes written"}},
		{[]string{"capture", "cut", "--from", "noon", whole, at("noon")}, exitUsage, []string{`--from: "noon" is neither`}},
		{[]string{"capture", "cut", "--from", "7s", "--to", "6s", whole, at("none")}, exitUsage, []string{"--to: is before --from"}},
		{[]string{"capture", "export", whole}, exitGood, []string{`"Kind":"arrived"`, `"Kind":"set-timer"`}},
		{[]string{"capture", "hash", "--key", at("key"), whole, at("hashed")}, exitGood, []string{"bytes written"}},
		{[]string{"replay", at("hashed")}, exitGood, []string{"every action as recorded"}},
		{[]string{"capture", "hash", "--key", at("short"), whole, at("hashed-2")}, exitUsage, []string{"the key has 5 bytes, less than 16"}},
		{[]string{"replay", "--with", at("config.json"), "--plot", whole}, exitGood, []string{"An open loop", "other settings, open loop", "rejected per second"}},
		{[]string{"replay", "--against", at("other"), whole}, exitGood, []string{"the other build, open loop"}},
		{[]string{"replay", "--against", at("mute"), whole}, exitUsage, []string{"mute: its answer is of another form"}},
		{[]string{"replay", "--tally", whole}, exitGood, []string{`"Classes":[`}},
		{[]string{"replay", "--with", at("key"), whole}, exitUsage, []string{"key: "}},
		{[]string{"replay", "--shrink", "--keep", "sent=" + anyID, "--out", at("small.capture"), whole}, exitGood, []string{"small.capture: ", "small_test.go: "}},
		{[]string{"replay", at("small.capture")}, exitGood, []string{"every action as recorded"}},
		{[]string{"replay", "--shrink", "--keep", "late", "--out", at("x"), whole}, exitUsage, []string{`--keep: "late" is none of`}},
		{[]string{"replay", "--shrink", "--keep", "breach", "--out", at("x"), whole}, exitUsage, []string{"does not hold on the whole capture"}},
		{[]string{"replay", "--at", "07:00:03", whole}, exitGood, []string{"requests are open", "n0", "gold"}},
		{[]string{"replay", "--at", "later", whole}, exitUsage, []string{`--at: "later" is neither`}},
		{[]string{"replay", "--why", "absent", whole}, exitUsage, []string{"holds nothing of this request"}},
		{[]string{"replay", "--why", "1", "--at", "1s", whole}, exitUsage, nil},
	} {
		code, out, errs := call(t, nil, c.args...)
		if code != c.code {
			t.Errorf("%s: exit %d\n%s\n%s", c.args, code, out, errs)
		}
		for _, want := range c.out {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%s: %q is missing in\n%.2000s\n%s", c.args, want, out, errs)
			}
		}
	}
	_, out, _ := call(t, nil, "capture", "export", whole)
	for i, line := range strings.Split(strings.TrimSpace(out), "\n") {
		if !json.Valid([]byte(line)) {
			t.Fatalf("line %d: %s", i+1, line)
		}
	}
}
