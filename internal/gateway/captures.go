package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/segment"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/filesystem"
)

// Parts of the file name of a capture: the reason why it was written, and the extension.
const (
	requestedReason  = "asked"
	crashReason      = "crash"
	triggeredReason  = "trigger-" // followed by the trigger's name
	captureExtension = ".capture"
)

// maxQueuedCaptures is the maximum number of triggered captures that wait for the disk. It is limited because each of
// them keeps memory of the recorder in use.
const maxQueuedCaptures = 4

// captureFiles writes each capture into a file of its own: those that are requested, those of triggers, and that of a
// crash.
type captureFiles struct {
	enabled      bool // whether anything is recorded
	directory    string
	gatewayName  string
	maxTriggered int // maximum number of retained captures of triggers
	triggered    chan triggeredCapture
	log          *slog.Logger
}

// triggeredCapture is a recording that is to be written to a file, with the name of the trigger that caused it.
type triggeredCapture struct {
	trigger   string
	recording capture.Recording
}

func (g *gateway) newCaptureFiles() *captureFiles {
	settings := &g.options.Operator.Capture
	return &captureFiles{
		enabled:      settings.MemoryKB > 0,
		directory:    settings.Directory,
		gatewayName:  g.options.Config.Name,
		maxTriggered: settings.MaxTriggered,
		triggered:    make(chan triggeredCapture, maxQueuedCaptures),
		log:          g.log,
	}
}

// runRequested writes a capture at each request until ctx ends. The loop only hands out the recording; it does not wait
// for the disk.
func (f *captureFiles) runRequested(ctx context.Context, requests <-chan os.Signal, loop *eventloop.Loop) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
		}
		if !f.enabled {
			f.log.Warn("capture requested, but nothing is recorded", "key", "capture.memory_kb")
			continue
		}
		recordings := make(chan capture.Recording, 1)
		loop.Capture(func(r capture.Recording) { recordings <- r })
		select {
		case <-ctx.Done():
			return
		case recording := <-recordings:
			f.saveRequested(recording)
		}
	}
}

func (f *captureFiles) saveRequested(recording capture.Recording) {
	path, size, err := f.save(requestedReason, recording)
	if err != nil {
		f.log.Error("capture not written", "err", err)
		return
	}
	f.log.Info("capture written", "file", path, "bytes", size)
}

// saveCrash writes a capture when the loop panics. It runs within the loop.
func (f *captureFiles) saveCrash(recording capture.Recording) {
	path, _, err := f.save(crashReason, recording)
	f.log.Error("event loop panicked", "capture", path, "err", err)
}

// enqueueTriggered queues the recording of a trigger for the disk. It runs within the loop, which must not block: if
// the queue is full because the disk is slow, the capture is dropped.
func (f *captureFiles) enqueueTriggered(match capture.TriggerMatch, recording capture.Recording) {
	select {
	case f.triggered <- triggeredCapture{trigger: match.Name, recording: recording}:
	default:
		f.log.Warn("triggered capture dropped: queue for the disk is full", "trigger", match.Name)
	}
}

// runTriggered writes captures of triggers until the recording has ended, and then those that are still queued.
func (f *captureFiles) runTriggered(recorded context.Context) {
	for {
		select {
		case next := <-f.triggered:
			f.saveTriggered(next)
			continue
		case <-recorded.Done():
		}
		select {
		case next := <-f.triggered:
			f.saveTriggered(next)
		default:
			return
		}
	}
}

// saveTriggered writes a capture of a trigger. It then removes the oldest captures of triggers until no more than
// maxTriggered are left.
func (f *captureFiles) saveTriggered(c triggeredCapture) {
	path, size, err := f.save(triggeredReason+c.trigger, c.recording)
	if err == nil {
		prefix := string(segment.FilePrefixOf(f.gatewayName))
		err = removeOldestTriggered(filesystem.OS{}, f.directory, prefix, f.maxTriggered)
	}
	if err != nil {
		f.log.Error("triggered capture not written or old ones not removed", "trigger", c.trigger, "err", err)
		return
	}
	f.log.Info("capture written", "trigger", c.trigger, "file", path, "bytes", size)
}

// save writes a recording into a file of its own, either completely or not at all. The names of the files sort by time.
func (f *captureFiles) save(reason string, recording capture.Recording) (path string, size int, err error) {
	content, err := recording.File()
	if err != nil {
		return "", 0, err
	}
	taken := time.Now().UTC().Format("20060102T150405.000000000")
	name := fmt.Sprintf("%s%s-%s%s", segment.FilePrefixOf(f.gatewayName), taken, reason, captureExtension)
	path = filepath.Join(f.directory, name)
	return path, len(content), filesystem.ReplaceFile(filesystem.OS{}, path, content)
}

// removeOldestTriggered removes captures of triggers, the oldest first, until no more are left than allowed.
func removeOldestTriggered(fs filesystem.FS, directory, prefix string, allowed int) error {
	files, err := fs.List(directory)
	if err != nil {
		return err
	}
	files = slices.DeleteFunc(files, func(file filesystem.Info) bool { return !isTriggered(file.Name, prefix) })
	for ; len(files) > allowed; files = files[1:] {
		if err := fs.Remove(filepath.Join(directory, files[0].Name)); err != nil {
			return err
		}
	}
	return nil
}

// isTriggered reports whether a file has the name of a trigger's capture by the gateway whose file names begin with
// prefix.
func isTriggered(name, prefix string) bool {
	return strings.HasPrefix(name, prefix) &&
		strings.Contains(name, "-"+triggeredReason) &&
		strings.HasSuffix(name, captureExtension)
}
