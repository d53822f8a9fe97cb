package warmrestart

import (
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

// mostState bounds the file of a state.
const mostState = 8 << 20

// Store keeps the state of one gateway on disk, in two generations. It is used by one goroutine at a time.
type Store struct {
	FS   filesystem.FS
	Path string // of the newest generation; the other and what is set aside stand beside it
	Log  *slog.Logger
}

// Path gives where a gateway's state is kept.
func Path(directory, gateway string) string {
	return filepath.Join(directory, "state-"+gateway+".capture")
}

func (s *Store) older() string { return s.Path + ".old" }

// Save writes a state, whole or not at all; the one before it stays as the older generation. A state is a capture of one snapshot, so the commands
// for captures read it.
func (s *Store) Save(head capture.Head, state *scheduler.Snapshot) error {
	file, err := capture.Compress(head, []capture.Record{{Kind: capture.KindSnapshot, At: state.Now, State: state}})
	if err != nil {
		return err
	}
	next := s.Path + ".new"
	if err := filesystem.ReplaceFile(s.FS, next, file); err != nil {
		return err
	}
	// Between the two renames there is only the older generation, which Load finds.
	if err := s.FS.Rename(s.Path, s.older()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.FS.Rename(next, s.Path); err != nil {
		return err
	}
	return s.FS.SyncDirectory(filepath.Dir(s.Path))
}

// Load gives the newest state that can be read and is of these settings, and when it was taken; nil where there is none. What can't be read is set aside
// with a log line: it is neither believed nor lost.
func (s *Store) Load(settings scheduler.Settings) (state *scheduler.Snapshot, taken time.Time) {
	for _, path := range []string{s.Path, s.older()} {
		head, state, err := s.read(path)
		if err == nil && !same(head.Settings, settings) {
			err = errors.New("it is of other settings")
		}
		if err == nil && head.Origin == 0 {
			err = errors.New("it does not tell when it was taken")
		}
		switch {
		case err == nil:
			return state, time.Unix(0, head.Origin).Add(state.Now)
		case errors.Is(err, fs.ErrNotExist):
		default:
			aside := path + ".set-aside"
			s.Log.Warn("the state of an earlier life can't be used: it is set aside", "file", aside, "err", err)
			if err := s.FS.Rename(path, aside); err != nil {
				s.Log.Warn("it could not be set aside", "file", path, "err", err)
			}
		}
	}
	return nil, time.Time{}
}

func (s *Store) read(path string) (head capture.Head, state *scheduler.Snapshot, err error) {
	in, err := s.FS.Open(path)
	if err != nil {
		return head, nil, err
	}
	defer in.Close()
	c, err := capture.NewReader(io.LimitReader(in, mostState))
	if err != nil {
		return head, nil, err
	}
	r, err := c.Next()
	if err != nil {
		return head, nil, err
	}
	if r.Kind != capture.KindSnapshot || r.State == nil {
		return head, nil, fmt.Errorf("it holds a %s in place of a state", r.Kind)
	}
	if _, err := scheduler.Resume(c.Head.Settings, r.State, nil); err != nil { // its places are checked there
		return head, nil, err
	}
	return c.Head, r.State, nil
}

func same(a, b scheduler.Settings) bool {
	x, err := capture.EncodeHeader(&capture.Head{Settings: a})
	y, err2 := capture.EncodeHeader(&capture.Head{Settings: b})
	return err == nil && err2 == nil && string(x) == string(y)
}
