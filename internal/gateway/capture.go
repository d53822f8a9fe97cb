package gateway

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/core"
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
			file, err := kept.File()
			path := ""
			if err == nil {
				path, err = save(g.Operator.Capture.Directory, file)
			}
			if err != nil {
				g.Log.Error("the capture could not be written", "err", err)
				continue
			}
			g.Log.Info("capture written", "file", path, "bytes", len(file))
		}
	}
}

// save writes a file of its own, whole or not at all: under another name first, synced, then renamed.
func save(directory string, file []byte) (path string, err error) {
	path = filepath.Join(directory, fmt.Sprintf("decisions-%s.capture", time.Now().UTC().Format("20060102T150405.000000000")))
	f, err := os.CreateTemp(directory, "decisions-*.part")
	if err != nil {
		return "", err
	}
	_, err = f.Write(file)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name()) // what is left of a write that failed is of no use
		return "", err
	}
	return path, nil
}
