package conformance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"time"

	"reachpulley/internal/filesystem"
	"reachpulley/internal/trust"
)

// mostFile bounds the file of doubts, in bytes.
const mostFile = 8 << 20

// DistrustFile is the file of doubts.
type DistrustFile struct {
	Taken   time.Time      `json:"taken"`
	Records []trust.Record `json:"doubts"`
}

// ReadDistrustFile reads a file of doubts. Unknown fields are a fault: whoever wrote them knew more.
func ReadDistrustFile(f filesystem.FS, path string) (d DistrustFile, err error) {
	text, err := filesystem.ReadFile(f, path, mostFile)
	if err != nil {
		return d, err
	}
	if err = json.Unmarshal(text, &d); err == nil && d.Taken.IsZero() {
		err = errors.New("it does not tell when it was taken")
	}
	if err != nil {
		return DistrustFile{}, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// Store keeps doubts in a file. Keep never blocks; Run writes, and owns the file.
type Store struct {
	fs    filesystem.FS
	path  string
	log   *slog.Logger
	newer chan DistrustFile // holds one: what is newer takes its place
}

// NewStore makes a Store for a file.
func NewStore(f filesystem.FS, path string, log *slog.Logger) *Store {
	return &Store{fs: f, path: path, log: log, newer: make(chan DistrustFile, 1)}
}

// Load gives the doubts of an earlier life and how long ago they were taken. A file that can't be read is set aside: it is neither believed nor lost.
func (s *Store) Load() ([]trust.Record, time.Duration) {
	d, err := ReadDistrustFile(s.fs, s.path)
	switch {
	case err == nil:
		return d.Records, max(0, time.Since(d.Taken))
	case !errors.Is(err, fs.ErrNotExist):
		aside := s.path + ".set-aside"
		s.log.Warn("the doubts of an earlier life can't be used: they are set aside", "file", aside, "err", err)
		if err := s.fs.Rename(s.path, aside); err != nil {
			s.log.Warn("they could not be set aside", "err", err)
		}
	}
	return nil, 0
}

// Save has doubts written soon. It is called by one goroutine.
func (s *Store) Save(doubts []trust.Record) {
	d := DistrustFile{time.Now(), doubts}
	select {
	case <-s.newer:
	default:
	}
	s.newer <- d // there is room: nobody else puts anything in
}

// Run writes until ctx ends, and then what is left.
func (s *Store) Run(ctx context.Context) {
	failing := false
	write := func(d DistrustFile) {
		text, err := json.MarshalIndent(d, "", "  ")
		if err == nil {
			err = filesystem.ReplaceFile(s.fs, s.path, append(text, '\n'))
		}
		if (err != nil) != failing { // told at each change
			failing = err != nil
			s.log.Warn("the file of doubts", "written", err == nil, "err", err)
		}
	}
	for {
		select {
		case d := <-s.newer:
			write(d)
		case <-ctx.Done():
			select {
			case d := <-s.newer:
				write(d)
			default:
			}
			return
		}
	}
}
