// Package filesystemtest provides an in-memory file system for tests. It can simulate full disks, failing syncs and
// loss of power.
package filesystemtest

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"reachpulley/internal/filesystem"
)

// Errors of simulated failures.
var (
	// ErrSync is the error of the sync that FailSyncNumber selects.
	ErrSync = errors.New("filesystemtest: sync failed")
	// ErrPowerLost is the error of the write during which the simulated power is lost, and of all later changes and
	// syncs.
	ErrPowerLost = errors.New("filesystemtest: power lost")
)

// FS is an in-memory file system. A loss of power loses unsynced content, and all creations, removals and renames since
// the last SyncDirectory.
type FS struct {
	mu        sync.Mutex
	files     map[string]*file
	durable   map[string]*file // files by name as of the last SyncDirectory
	used      int              // number of bytes in all files
	powerLost bool

	Capacity       int // in bytes; 0: unlimited
	FailSyncNumber int // which of the following syncs of files and directories fails: 1 is the next one; 0: none
	PowerLossAfter int // number of bytes that are still written before the power is lost; -1: it is not lost
}

var _ filesystem.FS = (*FS)(nil)

type file struct{ written, synced []byte }

// New returns an empty FS.
func New() *FS {
	return &FS{files: map[string]*file{}, durable: map[string]*file{}, PowerLossAfter: -1}
}

// Restart returns the file system as it is found after a loss of power. Of each file's unsynced content, the first
// unsyncedBytes bytes have survived.
func (f *FS) Restart(unsyncedBytes int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, old := range f.durable {
		content := bytes.Clone(old.synced)
		unsynced := len(old.written) - len(old.synced)
		if unsynced > 0 && bytes.HasPrefix(old.written, old.synced) {
			content = append(content, old.written[len(old.synced):][:min(unsyncedBytes, unsynced)]...)
		}
		next.files[name] = &file{written: content, synced: bytes.Clone(content)}
		next.used += len(content)
	}
	next.durable = maps.Clone(next.files)
	return next
}

// Put creates a file whose name and content are durable.
func (f *FS) Put(name string, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = &file{written: bytes.Clone(content), synced: bytes.Clone(content)}
	f.durable[name] = f.files[name]
	f.used += len(content)
}

// Content returns the content of a file, or nil if the file does not exist.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if found := f.files[name]; found != nil {
		return bytes.Clone(found.written)
	}
	return nil
}

// Create implements filesystem.FS.
func (f *FS) Create(name string) (filesystem.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.powerLost {
		return nil, ErrPowerLost
	}
	if f.files[name] != nil {
		return nil, fs.ErrExist
	}
	f.files[name] = &file{}
	return &handle{fs: f, file: f.files[name]}, nil
}

// Open implements filesystem.FS. The reader does not see later changes of the content.
func (f *FS) Open(name string) (io.ReadCloser, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(f.files[name].written))), nil
}

// existing returns an existing file that is to be changed. The caller holds f.mu.
func (f *FS) existing(name string) (*file, error) {
	switch {
	case f.powerLost:
		return nil, ErrPowerLost
	case f.files[name] == nil:
		return nil, fs.ErrNotExist
	}
	return f.files[name], nil
}

// Truncate implements filesystem.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, err := f.existing(name)
	if err != nil {
		return err
	}
	f.used -= len(found.written) - int(size)
	found.written = found.written[:size]
	found.synced = bytes.Clone(found.written)
	return nil
}

// Remove implements filesystem.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, err := f.existing(name)
	if err != nil {
		return err
	}
	f.used -= len(found.written)
	delete(f.files, name)
	return nil
}

// Rename implements filesystem.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, err := f.existing(from)
	if err != nil {
		return err
	}
	if replaced := f.files[to]; replaced != nil {
		f.used -= len(replaced.written)
	}
	f.files[to] = found
	delete(f.files, from)
	return nil
}

// List implements filesystem.FS.
func (f *FS) List(directory string) (files []filesystem.Info, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, found := range f.files {
		if filepath.Dir(name) == filepath.Clean(directory) {
			files = append(files, filesystem.Info{Name: filepath.Base(name), Size: int64(len(found.written))})
		}
	}
	slices.SortFunc(files, func(a, b filesystem.Info) int { return strings.Compare(a.Name, b.Name) })
	return files, nil
}

// SyncDirectory implements filesystem.FS. It makes the creations, removals and renames in all directories durable.
func (f *FS) SyncDirectory(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countSync(); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	return nil
}

// countSync counts a sync towards FailSyncNumber and returns the error with which it fails, or nil. The caller holds
// f.mu.
func (f *FS) countSync() error {
	if f.powerLost {
		return ErrPowerLost
	}
	if f.FailSyncNumber <= 0 {
		return nil
	}
	f.FailSyncNumber--
	if f.FailSyncNumber == 0 {
		return ErrSync
	}
	return nil
}

// handle is a file open for writing.
type handle struct {
	fs   *FS
	file *file
}

// Write writes the bytes for which there is space and power.
func (h *handle) Write(p []byte) (int, error) {
	f := h.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.powerLost {
		return 0, ErrPowerLost
	}
	n, err := f.takeWritable(len(p))
	h.file.written = append(h.file.written, p[:n]...)
	f.used += n
	return n, err
}

// takeWritable returns how many of n bytes can be written, and the error if that is not all of them. It counts the
// bytes towards PowerLossAfter. The caller holds f.mu.
func (f *FS) takeWritable(n int) (int, error) {
	var err error
	if f.Capacity > 0 && f.used+n > f.Capacity {
		n = max(0, f.Capacity-f.used)
		err = syscall.ENOSPC
	}
	if f.PowerLossAfter < 0 {
		return n, err
	}
	if n >= f.PowerLossAfter {
		n = f.PowerLossAfter
		err = ErrPowerLost
		f.powerLost = true
	}
	f.PowerLossAfter -= n
	return n, err
}

// Sync implements filesystem.File.
func (h *handle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.countSync(); err != nil {
		return err
	}
	h.file.synced = bytes.Clone(h.file.written)
	return nil
}

// Close does nothing. In particular, it does not sync the file.
func (h *handle) Close() error { return nil }
