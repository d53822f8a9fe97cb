package gateway

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime/debug"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/segment"
	"reachpulley/internal/core"
	"reachpulley/internal/disk"
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
func capturing(ctx context.Context, g Options, loop *core.Loop) {
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
		got := make(chan capture.Kept, 1)
		loop.Capture(func(k capture.Kept) { got <- k })
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

// save writes a file of its own, whole or not at all.
func save(directory, name, why string, kept capture.Kept) (path string, size int, err error) {
	file, err := kept.File()
	if err != nil {
		return "", 0, err
	}
	path = filepath.Join(directory, fmt.Sprintf("%s%s-%s.capture", segment.NamesOf(name), time.Now().UTC().Format("20060102T150405.000000000"), why))
	return path, len(file), disk.Replace(disk.OS{}, path, file)
}

// recording says what is recorded, and where. The writer is nil where nothing goes to a disk by itself.
func recording(g Options) (options capture.Options, writer *segment.Writer, err error) {
	c := &g.Operator.Capture
	options = capture.Options{Program: version(), Most: c.Memory << 10, Crashed: func(kept capture.Kept) {
		path, _, err := save(c.Directory, g.Config.Name, "crash", kept)
		g.Log.Error("the loop crashed", "capture", path, "err", err)
	}}
	if c.Memory == 0 || c.Disk == 0 {
		return options, nil, nil
	}
	writer, err = segment.New(segment.Options{FS: disk.OS{}, Directory: c.Directory, Names: segment.NamesOf(g.Config.Name), Limits: c.Limits(), Now: time.Now, Log: g.Log})
	if err != nil {
		return options, nil, fmt.Errorf("capture.directory: %w", err)
	}
	options.Sink = writer
	return options, writer, nil
}
