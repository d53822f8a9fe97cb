// Package segment keeps captures on disk: files that only grow, end by size or age, and go when they are the oldest of too many. Whoever
// records never waits for it: what the disk does not take in time is lost, and told as a gap.
package segment

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem"
)

// What waits for the disk is bounded by both.
const (
	mostWaiting      = 64
	mostWaitingBytes = 4 << 20
)

// Options are a Writer's surroundings.
type Options struct {
	FS        filesystem.FS
	Directory string
	Names     Names
	Limits    Limits
	Now       func() time.Time
	Log       *slog.Logger
}

// Writer takes pieces of a capture and writes them. It owns the open segment, which is closed where it is given up or rotated.
type Writer struct {
	o       Options
	queue   chan capture.Chunk
	waiting atomic.Int64 // bytes

	segments []held
	file     filesystem.File // nil: none is open
	number   uint64
	size     int64 // of what is whole
	openedAt time.Time
	missed   int // records that were not written since the last that were
	failures int // in a row
	notUntil time.Time
}

// New finds what is on disk, cuts off what an earlier life left half written, and removes what is too much.
func New(o Options) (*Writer, error) {
	w := &Writer{o: o, queue: make(chan capture.Chunk, mostWaiting)}
	list, err := o.FS.List(o.Directory)
	if err != nil {
		return nil, err
	}
	for _, info := range list {
		if number, ok := o.Names.Number(info.Name); ok {
			w.segments = append(w.segments, held{number, info.Size})
			w.number = max(w.number, number)
		}
	}
	if len(w.segments) > 0 {
		if err := w.mend(&w.segments[len(w.segments)-1]); err != nil {
			return nil, err
		}
	}
	return w, w.makeRoom()
}

// mend cuts the newest segment to what is whole. Earlier ones were whole when they were closed. One that is foreign or of another
// version stays as it is: it is nobody's to cut.
func (w *Writer) mend(last *held) error {
	name := w.path(last.number)
	in, err := w.o.FS.Open(name)
	if err != nil {
		return err
	}
	whole, err := capture.CompleteLength(in)
	in.Close()
	switch {
	case errors.Is(err, capture.ErrTruncated): // not even its head was written
		w.segments = w.segments[:len(w.segments)-1]
		return w.o.FS.Remove(name)
	case err != nil:
		w.o.Log.Warn("a segment can't be read; it stays as it is", "file", name, "err", err)
		return nil
	case whole == last.size:
		return nil
	}
	w.o.Log.Info("half a record was cut off", "file", name, "bytes", last.size-whole)
	last.size = whole
	return w.o.FS.Truncate(name, whole)
}

func (w *Writer) path(number uint64) string {
	return filepath.Join(w.o.Directory, w.o.Names.Name(number))
}

// Offer takes a piece unless too much waits.
func (w *Writer) Offer(p capture.Chunk) bool {
	size := int64(len(p.Frames))
	if w.waiting.Add(size) > mostWaitingBytes {
		w.waiting.Add(-size)
		return false
	}
	select {
	case w.queue <- p:
		return true
	default:
		w.waiting.Add(-size)
		return false
	}
}

// Run writes until ctx ends, then what was offered by then.
func (w *Writer) Run(ctx context.Context) {
	defer w.close()
	for {
		select {
		case p := <-w.queue:
			w.take(p)
		case <-ctx.Done():
			for {
				select {
				case p := <-w.queue:
					w.take(p)
				default:
					return
				}
			}
		}
	}
}

// take writes a piece and syncs it. An error ends the segment, never the writer.
func (w *Writer) take(p capture.Chunk) {
	w.waiting.Add(-int64(len(p.Frames)))
	w.missed += p.Lost
	err := w.open(p)
	if err == nil && w.file != nil {
		if err = w.write(p); err == nil {
			if w.failures > 0 {
				w.failures = 0
				w.o.Log.Info("recording to disk again", "file", w.path(w.number))
			}
			return
		}
	}
	w.missed += p.Records
	if err != nil {
		w.fail(err)
	}
}

// open sees to a segment into which the piece may go: none while the disk is left alone, and only the first piece of a part begins one.
func (w *Writer) open(p capture.Chunk) error {
	now := w.o.Now()
	if w.file != nil && p.StartsPart && w.o.Limits.due(w.size, now.Sub(w.openedAt)) {
		w.close()
	}
	if w.file != nil || !p.StartsPart || now.Before(w.notUntil) {
		return nil
	}
	if err := w.makeRoom(); err != nil {
		return err
	}
	head, err := capture.EncodeHeader(p.Head)
	if err != nil {
		return err
	}
	w.number++
	file, err := w.o.FS.Create(w.path(w.number))
	if err != nil {
		return err
	}
	w.file, w.size, w.openedAt = file, 0, now
	w.segments = append(w.segments, held{number: w.number})
	if err := w.add(head); err != nil {
		return err
	}
	return w.o.FS.SyncDirectory(w.o.Directory)
}

func (w *Writer) write(p capture.Chunk) error {
	frames := p.Frames
	if w.missed > 0 {
		gap, err := capture.GapFrame(w.missed)
		if err != nil {
			return err
		}
		frames = append(gap, frames...)
	}
	if err := w.add(capture.AppendBlock(nil, frames, p.StartsPart)); err != nil {
		return err
	}
	w.missed = 0
	return nil
}

// add writes and syncs bytes; only then do they count.
func (w *Writer) add(bytes []byte) error {
	if _, err := w.file.Write(bytes); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.size += int64(len(bytes))
	w.segments[len(w.segments)-1].size = w.size
	return nil
}

// fail gives the open segment up: after a failed write or sync nobody knows what of it lasts. What was whole before stays.
func (w *Writer) fail(err error) {
	w.failures++
	wait := pause(w.failures)
	w.notUntil = w.o.Now().Add(wait)
	w.o.Log.Error("recording to disk stopped", "err", err, "again", wait)
	if w.file == nil {
		return
	}
	w.file.Close()
	w.file = nil
	name := w.path(w.number)
	if w.size == 0 {
		w.segments = w.segments[:len(w.segments)-1]
		err = w.o.FS.Remove(name)
	} else {
		err = w.o.FS.Truncate(name, w.size)
	}
	if err != nil {
		w.o.Log.Warn("what is half written stays", "file", name, "err", err)
	}
}

func (w *Writer) close() {
	if w.file == nil {
		return
	}
	if err := w.file.Close(); err != nil {
		w.o.Log.Warn("a segment was not closed", "err", err)
	}
	w.file = nil
}

// makeRoom removes the oldest segments until another one fits.
func (w *Writer) makeRoom() error {
	for _, one := range w.o.Limits.outdated(w.segments) {
		if err := w.o.FS.Remove(w.path(one.number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		w.segments = w.segments[1:] // they are in order
	}
	return nil
}
