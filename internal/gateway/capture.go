package gateway

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/segment"
	"reachpulley/internal/capture/trigger"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/frontend/httpfrontend"
)

// version is what the build recorded of the program.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// capturing writes what was recorded whenever it is asked to, until ctx ends. The loop only hands it out: it does not wait for the
// disk.
func capturing(ctx context.Context, g Options, loop *eventloop.Loop) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Captures:
		}
		if g.Operator.Capture.Memory == 0 {
			g.Log.Warn("nothing is recorded", "key", "capture.memory_kb")
			continue
		}
		got := make(chan capture.Recording, 1)
		loop.Capture(func(k capture.Recording) { got <- k })
		select {
		case <-ctx.Done():
			return
		case kept := <-got:
			path, size, err := save(g.Operator.Capture.Directory, g.Config.Name, "asked", kept)
			if err != nil {
				g.Log.Error("the capture could not be written", "err", err)
				continue
			}
			g.Log.Info("capture written", "file", path, "bytes", size)
		}
	}
}

// noteEvery is between two looks at what a front turned away by itself.
const noteEvery = time.Second

// noting has captures tell what never reached the decisions, until ctx ends: without it, a crowd that holds all connections looks like a quiet hour.
func noting(ctx context.Context, server *httpfrontend.Server, loop *eventloop.Loop) {
	tick := time.NewTicker(noteEvery)
	defer tick.Stop()
	var last httpfrontend.Counts
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := server.Counts()
		if text := now.Since(last); text != "" {
			loop.Note("first front: " + text)
		}
		last = now
	}
}

// triggeredCapture is what a trigger has kept.
type triggeredCapture struct {
	name string
	kept capture.Recording
}

const mostTriggered = 4 // that wait for the disk: each holds on to the recorder's memory

// keepTriggered writes what triggers keep until the recording has ended, then what still waits.
func keepTriggered(ended context.Context, g Options, triggered <-chan triggeredCapture) {
	for {
		select {
		case one := <-triggered:
			one.write(g)
			continue
		case <-ended.Done():
		}
		select {
		case one := <-triggered:
			one.write(g)
		default:
			return
		}
	}
}

// write puts it into a file and removes the oldest of such files beyond what the operator allows.
func (one triggeredCapture) write(g Options) {
	c := &g.Operator.Capture
	path, size, err := save(c.Directory, g.Config.Name, triggeredName+one.name, one.kept)
	if err == nil {
		err = removeOldest(filesystem.OS{}, c.Directory, string(segment.NamesOf(g.Config.Name)), c.MaxTriggered)
	}
	if err != nil {
		g.Log.Error("a trigger's capture could not be written", "trigger", one.name, "err", err)
		return
	}
	g.Log.Info("capture written", "trigger", one.name, "file", path, "bytes", size)
}

const triggeredName = "trigger-"

// removeOldest leaves so many captures of triggers; their names sort by time.
func removeOldest(f filesystem.FS, directory, prefix string, most int) error {
	list, err := f.List(directory)
	if err != nil {
		return err
	}
	list = slices.DeleteFunc(list, func(i filesystem.Info) bool {
		return !strings.HasPrefix(i.Name, prefix) || !strings.Contains(i.Name, "-"+triggeredName) || !strings.HasSuffix(i.Name, ".capture")
	})
	for ; len(list) > most; list = list[1:] {
		if err := f.Remove(filepath.Join(directory, list[0].Name)); err != nil {
			return err
		}
	}
	return nil
}

// save writes a file of its own, whole or not at all.
func save(directory, name, why string, kept capture.Recording) (path string, size int, err error) {
	file, err := kept.File()
	if err != nil {
		return "", 0, err
	}
	path = filepath.Join(directory, fmt.Sprintf("%s%s-%s.capture", segment.NamesOf(name), time.Now().UTC().Format("20060102T150405.000000000"), why))
	return path, len(file), filesystem.ReplaceFile(filesystem.OS{}, path, file)
}

// recording says what is recorded, and where. The writer is nil where nothing goes to a disk by itself.
func recording(g Options) (options capture.Options, writer *segment.Writer, triggered chan triggeredCapture, err error) {
	c := &g.Operator.Capture
	triggered = make(chan triggeredCapture, mostTriggered)
	options = capture.Options{Program: version(), MaxBytes: c.Memory << 10, OnCrash: func(kept capture.Recording) {
		path, _, err := save(c.Directory, g.Config.Name, "crash", kept)
		g.Log.Error("the loop crashed", "capture", path, "err", err)
	}}
	if len(c.Triggers) > 0 {
		options.Triggers = trigger.New(c.TriggerRules(), g.Config.Settings)
		options.OnTrigger = func(k capture.TriggerMatch, kept capture.Recording) {
			select {
			case triggered <- triggeredCapture{k.Name, kept}:
			default: // the disk is slow, and the loop waits for nobody
				g.Log.Warn("a trigger's capture is lost: others wait for the disk", "trigger", k.Name)
			}
		}
	}
	if c.Memory == 0 || c.Disk == 0 {
		return options, nil, triggered, nil
	}
	writer, err = segment.New(segment.Options{FS: filesystem.OS{}, Directory: c.Directory, Names: segment.NamesOf(g.Config.Name), Limits: c.Limits(), Now: time.Now, Log: g.Log})
	if err != nil {
		return options, nil, nil, fmt.Errorf("capture.directory: %w", err)
	}
	options.Sink = writer
	return options, writer, triggered, nil
}
