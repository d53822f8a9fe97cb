package main

import (
	"fmt"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/summary"
	"reachpulley/internal/capture/timeline"
)

type captureInfo struct {
	File     string `arg:"" type:"existingfile" help:"A capture."`
	MaxNotes int    `name:"notes" default:"20" help:"Maximum number of notes that are shown."`
}

// captureContent counts the records of a capture by kind, and holds the times of its first and its last event.
type captureContent struct {
	events    int
	snapshots int
	gaps      int
	lost      int // records that are missing in the gaps
	notes     int

	firstEvent time.Duration
	lastEvent  time.Duration
}

// add counts a record.
func (c *captureContent) add(record *capture.Record) {
	switch {
	case record.Kind.IsEvent():
		if c.events == 0 {
			c.firstEvent = record.At
		}
		c.events++
		c.lastEvent = record.At
	case record.Kind == capture.KindSnapshot:
		c.snapshots++
	case record.Kind == capture.KindGap:
		c.gaps++
		c.lost += record.Lost
	case record.Kind == capture.KindNote:
		c.notes++
	}
}

// Run prints what a capture holds and how its requests ended. It does not replay the capture.
func (a captureInfo) Run(env environment) error {
	file, reader, err := openCapture(a.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	clock := timeline.ClockFor(&reader.Head)
	requests := summary.New(reader.Head.Settings)
	var content captureContent
	for record, err := range records(reader) {
		if err != nil {
			fmt.Fprintf(env.stdout, "the rest cannot be read: %v\n", err)
			break
		}
		content.add(record)
		if record.Kind == capture.KindNote && content.notes <= a.MaxNotes {
			fmt.Fprintf(env.stdout, "%s %s\n", clock.Format(record.At), record.Text)
		}
		requests.Add(record, content.lastEvent)
	}
	printCaptureContent(env, &reader.Head, clock, content)
	fmt.Fprintf(env.stdout, "%d requests without an end\n\n", requests.Open)
	return requests.Write(env.stdout)
}

func printCaptureContent(env environment, head *capture.Head, clock timeline.Clock, content captureContent) {
	span := (content.lastEvent - content.firstEvent).Round(time.Millisecond)
	fmt.Fprintf(env.stdout, "recorded by %s, format %d, seed %d\n", head.Program, head.Version, head.Seed)
	fmt.Fprintf(env.stdout, "from %s to %s, %v\n",
		clock.Format(content.firstEvent), clock.Format(content.lastEvent), span)
	fmt.Fprintf(env.stdout, "%d events, %d snapshots, %d gaps with %d lost records\n",
		content.events, content.snapshots, content.gaps, content.lost)
	fmt.Fprintf(env.stdout, "%d notes of what never reached the scheduler\n", content.notes)
}
