// Package filesystemtest is a file system for tests that fails as disks do.
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

// Errors of a disk.
var (
	ErrSync  = errors.New("disktest: sync failed")
	ErrPower = errors.New("disktest: the power is gone")
)

// FS is in memory. What was not synced is lost with the power; names last once their directory was synced.
type FS struct {
	mu    sync.Mutex
	now   map[string]*file
	lasts map[string]*file // names as of the last sync of the directory
	used  int

	Capacity int // bytes that fit; 0: no bound
	FailSync int // the sync, counted from now on, that fails; 0: none
	Kill     int // bytes of writes from now on after which the power goes, -1: it stays
	dead     bool
}

type file struct{ written, synced []byte }

// New makes an empty one.
func New() *FS { return &FS{now: map[string]*file{}, lasts: map[string]*file{}, Kill: -1} }

// Restart gives the file system as it is found after the power was gone: of what was not synced, kept bytes are there.
func (f *FS) Restart(kept int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, old := range f.lasts {
		content := bytes.Clone(old.synced)
		if more := len(old.written) - len(old.synced); more > 0 && bytes.HasPrefix(old.written, old.synced) {
			content = append(content, old.written[len(old.synced):][:min(kept, more)]...)
		}
		next.now[name] = &file{content, bytes.Clone(content)}
		next.used += len(content)
	}
	next.lasts = maps.Clone(next.now)
	return next
}

// Put makes a file that lasts.
func (f *FS) Put(name string, content []byte) {
	f.now[name] = &file{bytes.Clone(content), bytes.Clone(content)}
	f.lasts[name] = f.now[name]
	f.used += len(content)
}

// Content gives a file's content; nil where there is none.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if one := f.now[name]; one != nil {
		return bytes.Clone(one.written)
	}
	return nil
}

// Create is as in filesystem.FS, and so are the others.
func (f *FS) Create(name string) (filesystem.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return nil, ErrPower
	}
	if f.now[name] != nil {
		return nil, fs.ErrExist
	}
	f.now[name] = &file{}
	return &handle{f, f.now[name]}, nil
}

// Open reads a file as it is now.
func (f *FS) Open(name string) (io.ReadCloser, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now[name] == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(f.now[name].written))), nil
}

// Truncate cuts a file, and syncs it.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	one := f.now[name]
	switch {
	case f.dead:
		return ErrPower
	case one == nil:
		return fs.ErrNotExist
	}
	f.used -= len(one.written) - int(size)
	one.written = one.written[:size]
	one.synced = bytes.Clone(one.written)
	return nil
}

// Remove removes a name.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.dead:
		return ErrPower
	case f.now[name] == nil:
		return fs.ErrNotExist
	}
	f.used -= len(f.now[name].written)
	delete(f.now, name)
	return nil
}

// Rename changes a name.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.dead:
		return ErrPower
	case f.now[from] == nil:
		return fs.ErrNotExist
	}
	if old := f.now[to]; old != nil {
		f.used -= len(old.written)
	}
	f.now[to] = f.now[from]
	delete(f.now, from)
	return nil
}

// List lists what is in a directory.
func (f *FS) List(directory string) (list []filesystem.Info, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, one := range f.now {
		if filepath.Dir(name) == filepath.Clean(directory) {
			list = append(list, filesystem.Info{Name: filepath.Base(name), Size: int64(len(one.written))})
		}
	}
	slices.SortFunc(list, func(a, b filesystem.Info) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// SyncDirectory makes names last.
func (f *FS) SyncDirectory(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.sync(); err != nil {
		return err
	}
	f.lasts = maps.Clone(f.now)
	return nil
}

func (f *FS) sync() error {
	if f.dead {
		return ErrPower
	}
	if f.FailSync > 0 {
		if f.FailSync--; f.FailSync == 0 {
			return ErrSync
		}
	}
	return nil
}

type handle struct {
	fs   *FS
	file *file
}

// Write adds what fits, and what the power allows.
func (h *handle) Write(p []byte) (int, error) {
	f := h.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return 0, ErrPower
	}
	n, err := len(p), error(nil)
	if f.Capacity > 0 && f.used+n > f.Capacity {
		n, err = max(0, f.Capacity-f.used), syscall.ENOSPC
	}
	if f.Kill >= 0 {
		if n >= f.Kill {
			n, err, f.dead = f.Kill, ErrPower, true
		}
		f.Kill -= n
	}
	h.file.written = append(h.file.written, p[:n]...)
	f.used += n
	return n, err
}

// Sync makes what was written last.
func (h *handle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.sync(); err != nil {
		return err
	}
	h.file.synced = bytes.Clone(h.file.written)
	return nil
}

// Close does nothing: what was not synced may still be lost.
func (h *handle) Close() error { return nil }
