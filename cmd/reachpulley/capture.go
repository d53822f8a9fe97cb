package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
	"reachpulley/internal/capture/summary"
	"reachpulley/internal/capture/timeline"
	"reachpulley/internal/filesystem"
)

// captureCommands work with captures as files. They never change one.
type captureCommands struct {
	Info   captureInfo   `cmd:"" help:"Tell what a capture holds, and what became of its requests."`
	Verify captureVerify `cmd:"" help:"Check that a capture is whole; with --rules, that what it holds keeps the deployment's rules."`
	Cut    captureCut    `cmd:"" help:"Write the part of a capture between two times."`
	Merge  captureMerge  `cmd:"" help:"Write several segments of one gateway's life as one capture."`
	Export captureExport `cmd:"" help:"Write a capture as JSON lines."`
	Hash   captureHash   `cmd:"" help:"Write a copy with ids, volumes and keys replaced by keyed hashes; it replays as the original does."`
}

// open reads a capture's head. The caller closes the file.
func open(path string) (*os.File, *capture.Reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	c, err := capture.NewReader(f)
	if err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, c, nil
}

type captureInfo struct {
	File  string `arg:"" type:"existingfile" help:"A capture."`
	Notes int    `default:"20" help:"Notes that are shown at most."`
}

// Run reads a capture without playing it.
func (a captureInfo) Run(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	clock := timeline.ClockFor(&c.Head)
	all := summary.New(c.Head.Settings)
	events, snapshots, gaps, lost, notes := 0, 0, 0, 0, 0
	var first, last time.Duration
	for {
		r, err := c.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			fmt.Fprintf(s.out, "what follows can't be read: %v\n", err)
			break
		}
		switch {
		case r.Kind.IsEvent():
			if last = r.At; events == 0 {
				first = r.At
			}
			events++
		case r.Kind == capture.KindSnapshot:
			snapshots++
		case r.Kind == capture.KindGap:
			gaps++
			lost += r.Lost
		case r.Kind == capture.KindNote:
			if notes++; notes <= a.Notes {
				fmt.Fprintf(s.out, "%s %s\n", clock.Format(r.At), r.Text)
			}
		}
		all.Add(r, last)
	}
	fmt.Fprintf(s.out, "recorded by %s, format %d, seed %d\nfrom %s to %s, %v\n%d events, %d snapshots, %d gaps with %d lost records\n%d notes of what never reached the decisions\n%d requests without an end\n\n",
		c.Head.Program, c.Head.Version, c.Head.Seed, clock.Format(first), clock.Format(last), (last - first).Round(time.Millisecond), events, snapshots, gaps, lost, notes, all.Open)
	return all.Write(s.out)
}

type captureVerify struct {
	File  string `arg:"" type:"existingfile" help:"A capture."`
	Rules bool   `help:"Check the rules of the deployment, too."`
	Most  int    `default:"50" help:"Breaches that are told at most."`
}

// Run plays a capture and, if asked to, has a model of the rules follow it.
func (a captureVerify) Run(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	clock := timeline.ClockFor(&c.Head)
	player, checker, events, breaches := capture.NewPlayer(c), invariants.New(c.Head.Settings), 0, 0
	for {
		step, err := player.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		var differs *capture.Difference
		if err != nil && !(a.Rules && errors.As(err, &differs)) { // a capture of another build keeps the rules or does not, however it differs
			return differ(s, a.File, events, err)
		}
		events++
		if !a.Rules {
			continue
		}
		for _, b := range checker.Step(step) {
			if breaches++; breaches <= a.Most {
				fmt.Fprintf(s.out, "%s event %d, %s: %s", clock.Format(b.At), b.Event, b.Rule, b.Text)
				if b.ID != "" {
					fmt.Fprintf(s.out, " (request %s)", b.ID)
				}
				if b.Node != "" {
					fmt.Fprintf(s.out, " (node %s)", b.Node)
				}
				fmt.Fprintln(s.out)
			}
		}
	}
	fmt.Fprintf(s.out, "%d events, every block whole, %d gaps with %d lost records\n", events, player.Gaps, player.Lost)
	if a.Rules {
		for _, rule := range invariants.Rules {
			fmt.Fprintf(s.out, "%s: asked %d times\n", rule, checker.Checked[rule])
		}
		fmt.Fprintf(s.out, "%d breaches\n", breaches)
	}
	if breaches > 0 {
		return errFound
	}
	return nil
}

type captureCut struct {
	File string `arg:"" type:"existingfile" help:"A capture."`
	Out  string `arg:"" help:"The file to write; it must not exist."`
	From string `help:"Time of the first event: a duration of the recorder's clock, a time, or a time of day (UTC)."`
	To   string `help:"Time of the last event."`
}

// Run writes the parts that hold the events between two times. A part begins with a snapshot, so the first event may be earlier than asked.
func (a captureCut) Run(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	var kept []capture.Record
	var now time.Duration
	clock, from, to, began := timeline.ClockFor(&c.Head), time.Duration(0), time.Duration(1<<63-1), false
	for {
		r, err := c.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return show(s, fmt.Errorf("%s: %w", a.File, err))
		}
		if r.Kind.IsEvent() {
			if now = r.At; !began {
				began = true
				if from, to, err = between(clock, a.From, a.To, now); err != nil {
					return show(s, err)
				}
			}
		}
		if began && now > to {
			break
		}
		if r.Kind == capture.KindSnapshot && r.At <= from { // nothing before it is needed
			kept = kept[:0]
		}
		kept = append(kept, *r)
	}
	if len(kept) == 0 || !began {
		return show(s, errors.New("nothing is recorded between these times"))
	}
	return writeCapture(s, a.Out, c.Head, kept)
}

func between(clock timeline.Clock, from, to string, begin time.Duration) (a, b time.Duration, err error) {
	a, b = 0, 1<<63-1
	if from != "" {
		if a, err = clock.Parse(from, begin); err != nil {
			return a, b, fmt.Errorf("--from: %w", err)
		}
	}
	if to != "" {
		if b, err = clock.Parse(to, begin); err != nil {
			return a, b, fmt.Errorf("--to: %w", err)
		}
	}
	if b < a {
		return a, b, errors.New("--to: is before --from")
	}
	return a, b, nil
}

// writeCapture writes a capture into a new file, whole or not at all.
func writeCapture(s streams, path string, head capture.Head, records []capture.Record) error {
	file, err := capture.Compress(head, records)
	if err != nil {
		return show(s, err)
	}
	return putNew(s, path, file)
}

// putNew writes a file that is not there yet.
func putNew(s streams, path string, file []byte) error {
	if _, err := os.Stat(path); err == nil {
		return show(s, fmt.Errorf("%s: is there already", path))
	}
	if err := filesystem.ReplaceFile(filesystem.OS{}, path, file); err != nil {
		return show(s, err)
	}
	fmt.Fprintf(s.out, "%s: %d bytes written\n", path, len(file))
	return nil
}

type captureMerge struct {
	Out   string   `arg:"" help:"The file to write; it must not exist."`
	Files []string `arg:"" type:"existingfile" help:"Segments, in the order of their numbers."`
}

// Run joins segments. They must be of one life of a gateway: of one seed and settings, and in order. Missing ones are told by the replay.
func (a captureMerge) Run(s streams) error {
	var head capture.Head
	var all []capture.Record
	var reached time.Duration
	for i, path := range a.Files {
		f, c, err := open(path)
		if err != nil {
			return show(s, err)
		}
		defer f.Close()
		if i == 0 {
			head = c.Head
		} else if !same(head, c.Head) {
			return show(s, fmt.Errorf("%s: is of another life than %s", path, a.Files[0]))
		}
		for {
			r, err := c.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return show(s, fmt.Errorf("%s: %w", path, err))
			}
			if r.Kind.IsEvent() {
				if r.At < reached {
					return show(s, fmt.Errorf("%s: begins at %v, before the end of the file before it, %v", path, r.At, reached))
				}
				reached = r.At
			}
			all = append(all, *r)
		}
	}
	return writeCapture(s, a.Out, head, all)
}

func same(a, b capture.Head) bool {
	x, err := capture.EncodeHeader(&a)
	y, err2 := capture.EncodeHeader(&b)
	return err == nil && err2 == nil && bytes.Equal(x, y)
}

type captureExport struct {
	File      string `arg:"" type:"existingfile" help:"A capture."`
	Snapshots bool   `help:"Write the states in full."`
}

// Run writes the head, then a line for each record.
func (a captureExport) Run(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	out := json.NewEncoder(s.out)
	if err := out.Encode(c.Head); err != nil {
		return err
	}
	for {
		r, err := c.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return show(s, fmt.Errorf("%s: %w", a.File, err))
		}
		line := struct {
			Kind string
			*capture.Record
		}{r.Kind.String(), r}
		if r.Kind == capture.KindSnapshot && !a.Snapshots {
			r.State = nil
		}
		if err := out.Encode(line); err != nil {
			return err
		}
	}
}

type captureHash struct {
	File string `arg:"" type:"existingfile" help:"A capture."`
	Out  string `arg:"" help:"The file to write; it must not exist."`
	Key  string `required:"" type:"existingfile" help:"A file that holds the key: 16 bytes at least. The same key gives the same hashes."`
}

// Run hashes a capture's names.
func (a captureHash) Run(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	key, err := os.ReadFile(a.Key)
	if err != nil {
		return show(s, err)
	}
	file, err := capture.Hash(c, bytes.TrimSpace(key))
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.File, err))
	}
	return putNew(s, a.Out, file)
}
