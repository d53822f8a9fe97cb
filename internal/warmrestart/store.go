package warmrestart

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"path/filepath"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem"
	"reachpulley/scheduler"
)

// Errors for which a stored state is rejected, besides those of reading the file, of capture and of scheduler.Resume.
var (
	// ErrSettingsChanged means that a state was stored under settings that differ from the present ones.
	ErrSettingsChanged = errors.New("the settings have changed since the state was stored")
	// ErrNoOrigin means that a stored state does not say when its clock began, so its age is unknown.
	ErrNoOrigin = errors.New("the stored state does not say when its clock began")
	// ErrNoSnapshot means that a file is a capture, but does not begin with a snapshot.
	ErrNoSnapshot = errors.New("the file does not begin with a snapshot")
)

// maxStateBytes is how many bytes of a file with a stored state are read at most.
const maxStateBytes = 8 << 20

// Suffixes that are appended to Store.Path to name the other files.
const (
	previousSuffix = ".old"       // the generation before the newest one
	nextSuffix     = ".new"       // a generation that is written but not yet renamed to the newest one
	rejectedSuffix = ".set-aside" // a state that was rejected
)

// Store keeps the state of one gateway on disk, in two generations. It is used by one goroutine at a time.
type Store struct {
	FS   filesystem.FS
	Path string // file of the newest generation; the other files are in the same directory
	Log  *slog.Logger
}

// StatePath returns the path of a gateway's stored state in a directory.
func StatePath(directory, gateway string) string {
	return filepath.Join(directory, "state-"+gateway+".capture")
}

func (s *Store) previousPath() string { return s.Path + previousSuffix }

// Save writes a state completely or not at all. The state that was the newest so far becomes the previous generation. A
// stored state is a capture with a single snapshot, so the commands for captures can read it.
func (s *Store) Save(head capture.Head, state *scheduler.Snapshot) error {
	snapshot := capture.Record{Kind: capture.KindSnapshot, At: state.Now, State: state}
	content, err := capture.Compress(head, []capture.Record{snapshot})
	if err != nil {
		return err
	}
	next := s.Path + nextSuffix
	if err := filesystem.ReplaceFile(s.FS, next, content); err != nil {
		return err
	}
	// Between the two renames only the previous generation exists. Load finds it there.
	if err := s.FS.Rename(s.Path, s.previousPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.FS.Rename(next, s.Path); err != nil {
		return err
	}
	return s.FS.SyncDirectory(filepath.Dir(s.Path))
}

// Load returns the newest state that is readable and was stored under the same settings, and the time when it was
// taken. It returns nil if there is no such state. It logs and renames files that it can't use, so that they are
// neither read again nor lost.
func (s *Store) Load(settings scheduler.Settings) (state *scheduler.Snapshot, taken time.Time) {
	for _, path := range []string{s.Path, s.previousPath()} {
		state, taken, err := s.load(path, settings)
		switch {
		case err == nil:
			return state, taken
		case errors.Is(err, fs.ErrNotExist):
		default:
			s.reject(path, err)
		}
	}
	return nil, time.Time{}
}

// load reads the state of a file and checks that it can be used under the settings.
func (s *Store) load(path string, settings scheduler.Settings) (*scheduler.Snapshot, time.Time, error) {
	head, state, err := s.read(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	if !equalSettings(head.Settings, settings) {
		return nil, time.Time{}, ErrSettingsChanged
	}
	if head.Origin == 0 {
		return nil, time.Time{}, ErrNoOrigin
	}
	return state, time.Unix(0, head.Origin).Add(state.Now), nil
}

// reject logs why a file can't be used, and renames the file.
func (s *Store) reject(path string, reason error) {
	renamed := path + rejectedSuffix
	s.Log.Warn("stored state rejected, renaming its file", "file", path, "renamed_to", renamed, "err", reason)
	if err := s.FS.Rename(path, renamed); err != nil {
		s.Log.Warn("renaming the rejected state failed", "file", path, "err", err)
	}
}

// read returns the head and the state in a file. The returned state has passed the checks of scheduler.Resume.
func (s *Store) read(path string) (head capture.Head, state *scheduler.Snapshot, err error) {
	file, err := s.FS.Open(path)
	if err != nil {
		return head, nil, err
	}
	defer file.Close()
	reader, err := capture.NewReader(io.LimitReader(file, maxStateBytes))
	if err != nil {
		return head, nil, err
	}
	record, err := reader.Next()
	if err != nil {
		return head, nil, err
	}
	if record.Kind != capture.KindSnapshot || record.State == nil {
		return head, nil, fmt.Errorf("%w: its first record is of kind %q", ErrNoSnapshot, record.Kind)
	}
	if _, err := scheduler.Resume(reader.Head.Settings, record.State, nil); err != nil {
		return head, nil, err
	}
	return reader.Head, record.State, nil
}

// equalSettings reports whether two settings have the same encoding in the head of a capture.
func equalSettings(a, b scheduler.Settings) bool {
	encodedA, errA := capture.EncodeHeader(&capture.Head{Settings: a})
	encodedB, errB := capture.EncodeHeader(&capture.Head{Settings: b})
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}
