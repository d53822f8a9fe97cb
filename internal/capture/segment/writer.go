// Package segment writes captures to disk as segments. A segment is a file to which chunks are appended. It ends when
// it reaches a size or an age, or when a write fails. The oldest segments are removed when the total size exceeds its
// limit. The recorder never waits for the disk: records that are not written in time are lost, and a gap in the capture
// gives their number.
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

// The limits of the chunks that are queued for the disk.
const (
	maxQueuedChunks = 64
	maxQueuedBytes  = 4 << 20
)

// Options configure a Writer.
type Options struct {
	FS         filesystem.FS
	Directory  string
	FilePrefix FilePrefix
	Limits     Limits
	Now        func() time.Time
	Log        *slog.Logger
}

// Writer is a capture.Sink that writes chunks to segments. Offer may be called from any goroutine. Everything else
// belongs to the goroutine that calls Run. The Writer owns the open segment. It closes a segment that is full,
// and the open one when a write fails and when Run ends.
type Writer struct {
	options     Options
	queue       chan capture.Chunk
	queuedBytes atomic.Int64

	files       []file // in the order of their numbers
	lostRecords int    // records that were lost since the last chunk that was written

	newestNumber uint64 // number of the newest segment, open or not

	// The open segment, which is the last of files.
	open     filesystem.File // nil: none is open
	size     int64           // bytes that were written and synced
	openedAt time.Time

	// The pause after failures.
	failures int       // number of failures in a row
	retryAt  time.Time // no segment is opened before this time
}

// New returns a Writer that continues after the segments on disk. It cuts off an incomplete end that the previous
// incarnation left, and removes the oldest segments beyond the limits.
func New(options Options) (*Writer, error) {
	w := &Writer{
		options: options,
		queue:   make(chan capture.Chunk, maxQueuedChunks),
	}
	list, err := options.FS.List(options.Directory)
	if err != nil {
		return nil, err
	}
	for _, info := range list {
		if number, ok := options.FilePrefix.Number(info.Name); ok {
			w.files = append(w.files, file{number, info.Size})
			w.newestNumber = max(w.newestNumber, number)
		}
	}
	if err := w.recoverNewest(); err != nil {
		return nil, err
	}
	return w, w.removeOutdated()
}

// recoverNewest truncates the newest segment to its complete frames, or removes it if its head is incomplete. Earlier
// segments were complete when they were closed. A file that is not a capture or has another format version stays
// unchanged, because it may belong to somebody else.
func (w *Writer) recoverNewest() error {
	if len(w.files) == 0 {
		return nil
	}
	newest := &w.files[len(w.files)-1]
	path := w.path(newest.number)
	input, err := w.options.FS.Open(path)
	if err != nil {
		return err
	}
	complete, err := capture.CompleteLength(input)
	input.Close()
	switch {
	case errors.Is(err, capture.ErrTruncated): // not even its head is complete
		w.files = w.files[:len(w.files)-1]
		return w.options.FS.Remove(path)
	case err != nil:
		w.options.Log.Warn("unreadable segment left unchanged", "file", path, "err", err)
		return nil
	case complete == newest.size:
		return nil
	}
	w.options.Log.Info("incomplete end of segment truncated", "file", path, "bytes", newest.size-complete)
	newest.size = complete
	return w.options.FS.Truncate(path, complete)
}

func (w *Writer) path(number uint64) string {
	return filepath.Join(w.options.Directory, w.options.FilePrefix.File(number))
}

// Offer queues a chunk for the disk and reports whether it did. It does not if too much is queued already. It never
// blocks.
func (w *Writer) Offer(chunk capture.Chunk) bool {
	size := int64(len(chunk.Frames))
	if w.queuedBytes.Add(size) > maxQueuedBytes {
		w.queuedBytes.Add(-size)
		return false
	}
	select {
	case w.queue <- chunk:
		return true
	default:
		w.queuedBytes.Add(-size)
		return false
	}
}

// Run writes chunks until ctx ends, and then the chunks that are still queued.
func (w *Writer) Run(ctx context.Context) {
	defer w.closeSegment()
	for {
		select {
		case chunk := <-w.queue:
			w.write(chunk)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// drain writes all queued chunks.
func (w *Writer) drain() {
	for {
		select {
		case chunk := <-w.queue:
			w.write(chunk)
		default:
			return
		}
	}
}

// write writes a chunk and syncs it. An error ends the open segment, and the Writer resumes after a pause.
func (w *Writer) write(chunk capture.Chunk) {
	w.queuedBytes.Add(-int64(len(chunk.Frames)))
	w.lostRecords += chunk.Lost
	written, err := w.tryWrite(chunk)
	if !written {
		w.lostRecords += chunk.Records
	}
	if err != nil {
		w.pauseAfterFailure(err)
		return
	}
	if written && w.failures > 0 {
		w.failures = 0
		w.options.Log.Info("recording to disk resumed", "file", w.path(w.newestNumber))
	}
}

// tryWrite writes a chunk to the open segment or a new one. It writes nothing if no segment can take the chunk.
func (w *Writer) tryWrite(chunk capture.Chunk) (written bool, err error) {
	if err := w.prepareSegment(chunk); err != nil {
		return false, err
	}
	if w.open == nil {
		return false, nil
	}
	if err := w.appendChunk(chunk); err != nil {
		return false, err
	}
	return true, nil
}

// prepareSegment opens or rotates the segment for a chunk. It creates no segment for a chunk that does not start a
// part, because a replay could not begin with it, and none during the pause after a failure.
func (w *Writer) prepareSegment(chunk capture.Chunk) error {
	now := w.options.Now()
	if w.open != nil && chunk.StartsPart && w.options.Limits.full(w.size, now.Sub(w.openedAt)) {
		w.closeSegment()
	}
	if w.open != nil || !chunk.StartsPart || now.Before(w.retryAt) {
		return nil
	}
	return w.createSegment(chunk.Head, now)
}

func (w *Writer) createSegment(head *capture.Head, now time.Time) error {
	if err := w.removeOutdated(); err != nil {
		return err
	}
	header, err := capture.EncodeHeader(head)
	if err != nil {
		return err
	}
	w.newestNumber++
	created, err := w.options.FS.Create(w.path(w.newestNumber))
	if err != nil {
		return err
	}
	w.open = created
	w.size = 0
	w.openedAt = now
	w.files = append(w.files, file{number: w.newestNumber})
	if err := w.appendAndSync(header); err != nil {
		return err
	}
	return w.options.FS.SyncDirectory(w.options.Directory)
}

// appendChunk appends a chunk to the open segment. If records were lost before the chunk, a gap precedes it.
func (w *Writer) appendChunk(chunk capture.Chunk) error {
	frames := chunk.Frames
	if w.lostRecords > 0 {
		gap, err := capture.GapFrame(w.lostRecords)
		if err != nil {
			return err
		}
		frames = append(gap, frames...)
	}
	if err := w.appendAndSync(capture.AppendBlock(nil, frames, chunk.StartsPart)); err != nil {
		return err
	}
	w.lostRecords = 0
	return nil
}

// appendAndSync appends bytes to the open segment. They count as written only once they are synced.
func (w *Writer) appendAndSync(bytes []byte) error {
	if _, err := w.open.Write(bytes); err != nil {
		return err
	}
	if err := w.open.Sync(); err != nil {
		return err
	}
	w.size += int64(len(bytes))
	w.files[len(w.files)-1].size = w.size
	return nil
}

// pauseAfterFailure ends the open segment and begins a pause. After a failed write or sync it is not known which of
// the bytes reached the disk, so the segment is truncated to the bytes that were synced before.
func (w *Writer) pauseAfterFailure(err error) {
	w.failures++
	pause := backoff(w.failures)
	w.retryAt = w.options.Now().Add(pause)
	w.options.Log.Error("recording to disk paused", "err", err, "retry_in", pause)
	if w.open == nil {
		return
	}
	w.open.Close()
	w.open = nil
	path := w.path(w.newestNumber)
	if w.size == 0 {
		w.files = w.files[:len(w.files)-1]
		err = w.options.FS.Remove(path)
	} else {
		err = w.options.FS.Truncate(path, w.size)
	}
	if err != nil {
		w.options.Log.Warn("incomplete segment data not removed", "file", path, "err", err)
	}
}

func (w *Writer) closeSegment() {
	if w.open == nil {
		return
	}
	if err := w.open.Close(); err != nil {
		w.options.Log.Warn("segment close failed", "file", w.path(w.newestNumber), "err", err)
	}
	w.open = nil
}

// removeOutdated removes the oldest segments to make room for another one.
func (w *Writer) removeOutdated() error {
	for _, outdated := range w.options.Limits.outdated(w.files) {
		err := w.options.FS.Remove(w.path(outdated.number))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		w.files = w.files[1:] // the outdated segments are the first of files
	}
	return nil
}
