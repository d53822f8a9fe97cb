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

// maxFileBytes is the maximum size of the distrust file.
const maxFileBytes = 8 << 20

// errNoTakenTime reports a distrust file that lacks the time at which its records were taken.
var errNoTakenTime = errors.New("the time \"taken\" is missing")

// DistrustFile is the content of the distrust file.
type DistrustFile struct {
	Taken   time.Time      `json:"taken"` // when the records were taken
	Records []trust.Record `json:"doubts"`
}

// ReadDistrustFile reads a distrust file.
func ReadDistrustFile(f filesystem.FS, path string) (DistrustFile, error) {
	text, err := filesystem.ReadFile(f, path, maxFileBytes)
	if err != nil {
		return DistrustFile{}, err
	}
	var content DistrustFile
	err = json.Unmarshal(text, &content)
	if err == nil && content.Taken.IsZero() {
		err = errNoTakenTime
	}
	if err != nil {
		return DistrustFile{}, fmt.Errorf("%s: %w", path, err)
	}
	return content, nil
}

// DistrustStore saves distrust records in a file. Save never blocks; the goroutine that calls Run writes the file.
type DistrustStore struct {
	fs     filesystem.FS
	path   string
	log    *slog.Logger
	latest chan DistrustFile // has capacity for one content, which a newer one replaces
}

// NewDistrustStore returns a DistrustStore for a file.
func NewDistrustStore(f filesystem.FS, path string, log *slog.Logger) *DistrustStore {
	return &DistrustStore{
		fs:     f,
		path:   path,
		log:    log,
		latest: make(chan DistrustFile, 1),
	}
}

// Load returns the records of the previous run of the gateway and their age. An unusable file is set aside under
// another name, so that it is neither used nor overwritten.
func (s *DistrustStore) Load() ([]trust.Record, time.Duration) {
	content, err := ReadDistrustFile(s.fs, s.path)
	if err == nil {
		return content.Records, max(0, time.Since(content.Taken))
	}
	if !errors.Is(err, fs.ErrNotExist) {
		aside := s.path + ".set-aside"
		s.log.Warn("unusable distrust file set aside", "file", aside, "err", err)
		if err := s.fs.Rename(s.path, aside); err != nil {
			s.log.Warn("distrust file not set aside", "err", err)
		}
	}
	return nil, 0
}

// Save passes records to Run, which writes them. It must not be called by several goroutines at once.
func (s *DistrustStore) Save(records []trust.Record) {
	content := DistrustFile{Taken: time.Now(), Records: records}
	select {
	case <-s.latest:
	default:
	}
	s.latest <- content // This does not block, because no other goroutine sends.
}

// Run writes the records that Save passes until ctx is done, and at the end those that are still waiting.
func (s *DistrustStore) Run(ctx context.Context) {
	failing := false
	for {
		select {
		case content := <-s.latest:
			failing = s.write(content, failing)
		case <-ctx.Done():
			select {
			case content := <-s.latest:
				s.write(content, failing)
			default:
			}
			return
		}
	}
}

// write replaces the file and reports whether that failed. It logs the result only if the previous write had another.
func (s *DistrustStore) write(content DistrustFile, wasFailing bool) (failing bool) {
	text, err := json.MarshalIndent(content, "", "  ")
	if err == nil {
		err = filesystem.ReplaceFile(s.fs, s.path, append(text, '\n'))
	}
	failing = err != nil
	switch {
	case failing && !wasFailing:
		s.log.Warn("distrust file not written", "err", err)
	case wasFailing && !failing:
		s.log.Warn("distrust file can be written again")
	}
	return failing
}
