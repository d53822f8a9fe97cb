package gateway

import (
	"runtime/debug"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/segment"
	"reachpulley/internal/capture/trigger"
	"reachpulley/internal/filesystem"
)

// recording holds the parts that record the loop's events and actions.
type recording struct {
	options  capture.Options
	segments *segment.Writer // nil if events and actions are not written to disk continuously
	files    *captureFiles
}

func (g *gateway) newRecording() (recording, error) {
	settings := &g.options.Operator.Capture
	files := g.newCaptureFiles()
	options := capture.Options{
		Program:  programVersion(),
		MaxBytes: settings.MemoryKB << 10,
		OnCrash:  files.saveCrash,
	}
	if len(settings.Triggers) > 0 {
		options.Triggers = trigger.New(settings.TriggerRules(), g.options.Config.Settings)
		options.OnTrigger = files.enqueueTriggered
	}
	if settings.MemoryKB == 0 || settings.DiskMB == 0 {
		return recording{options: options, files: files}, nil
	}
	segments, err := segment.New(segment.Options{
		FS:         filesystem.OS{},
		Directory:  settings.Directory,
		FilePrefix: segment.FilePrefixOf(g.options.Config.Name),
		Limits:     settings.Limits(),
		Now:        time.Now,
		Log:        g.log,
	})
	if err != nil {
		return recording{}, &ConfigError{Key: "capture.directory", Err: err}
	}
	options.Sink = segments
	return recording{options: options, segments: segments, files: files}, nil
}

// programVersion returns the version of the program that the build recorded in it, or "unknown" if there is none.
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
