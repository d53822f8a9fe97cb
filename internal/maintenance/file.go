// Package maintenance stores which nodes operators have taken offline, so that two processes of one gateway agree on it
// during an upgrade.
package maintenance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"reachpulley/internal/filesystem"
)

const (
	fileName     = "maintenance.json"
	version      = 1
	maxFileBytes = 1 << 20
)

// ErrVersion means that a file was written by a program with another format.
var ErrVersion = errors.New("unknown version of the maintenance state")

// content is the JSON form of a file.
type content struct {
	Version int      `json:"version"`
	Offline []string `json:"offline"`
}

// File is a stored state. It is not safe for concurrent use.
type File struct {
	files filesystem.FS
	path  string
	last  []byte // what was read or stored last
}

// NewFile returns the state in a directory, which may hold none yet.
func NewFile(directory string) *File {
	return &File{files: filesystem.OS{}, path: filepath.Join(directory, fileName)}
}

// Load returns the nodes that are offline, and whether the file has changed since it was last read or stored. Content
// that cannot be read is reported once.
func (f *File) Load() (offline []string, changed bool, err error) {
	text, err := filesystem.ReadFile(f.files, f.path, maxFileBytes)
	if errors.Is(err, fs.ErrNotExist) || err == nil && bytes.Equal(text, f.last) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	f.last = text
	var state content
	if err := json.Unmarshal(text, &state); err != nil {
		return nil, false, fmt.Errorf("%s: %w", f.path, err)
	}
	if state.Version != version {
		return nil, false, fmt.Errorf("%s: %w: %d, want %d", f.path, ErrVersion, state.Version, version)
	}
	return state.Offline, true, nil
}

// Store replaces the file.
func (f *File) Store(offline []string) error {
	slices.Sort(offline)
	text, err := json.Marshal(content{Version: version, Offline: offline})
	if err != nil {
		return err
	}
	if err := filesystem.ReplaceFile(f.files, f.path, text); err != nil {
		return fmt.Errorf("%s: %w", f.path, err)
	}
	f.last = text
	return nil
}
