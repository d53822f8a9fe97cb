// Package filesystem is the little of a file system that state on disk needs, behind an interface: tests give one that loses what was not
// synced, runs out of space, and fails to sync.
package filesystem

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// FS is a file system. Names are paths; directories exist.
type FS interface {
	// Create makes a file for writing at its end. It fails with fs.ErrExist where there is one.
	Create(name string) (File, error)
	Open(name string) (io.ReadCloser, error)
	// Truncate cuts a file to a size and syncs it.
	Truncate(name string, size int64) error
	Remove(name string) error
	// Rename gives a file another name, in place of whatever had that.
	Rename(from, to string) error
	// List gives the regular files of a directory, by name.
	List(directory string) ([]Info, error)
	// SyncDirectory makes creations, removals and renames in it last.
	SyncDirectory(directory string) error
}

// File is a file that is written.
type File interface {
	io.WriteCloser
	// Sync makes what was written last. After an error nobody knows what will: the file must be given up.
	Sync() error
}

// Info tells of a file.
type Info struct {
	Name string // without its directory
	Size int64
}

// partSuffix marks files that are not whole yet.
const partSuffix = ".part"

// ReplaceFile puts a file with this content in place of whatever had its name, whole or not at all: written under another name, synced, renamed.
func ReplaceFile(f FS, name string, content []byte) (err error) {
	part := name + partSuffix
	if err := f.Remove(part); err != nil && !errors.Is(err, fs.ErrNotExist) { // of an earlier life
		return err
	}
	out, err := f.Create(part)
	if err != nil {
		return err
	}
	_, err = out.Write(content)
	if err == nil {
		err = out.Sync()
	}
	if closed := out.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = f.Rename(part, name)
	}
	if err != nil {
		return errors.Join(err, f.Remove(part)) // half a file is of no use, and takes room
	}
	return f.SyncDirectory(filepath.Dir(name))
}

// ReadFile gives a file's content, up to a bound.
func ReadFile(f FS, name string, most int64) ([]byte, error) {
	in, err := f.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	content, err := io.ReadAll(io.LimitReader(in, most+1))
	if err == nil && int64(len(content)) > most {
		err = errors.New("it is too long")
	}
	return content, err
}

// OS is the file system of the machine.
type OS struct{}

// Create is as in FS, and so are the others.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Open opens a file for reading.
func (OS) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Truncate cuts a file.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// List lists a directory.
func (OS) List(directory string) (list []Info, err error) {
	entries, err := os.ReadDir(directory)
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			list = append(list, Info{e.Name(), info.Size()})
		}
	}
	slices.SortFunc(list, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return list, err
}

// SyncDirectory syncs a directory.
func (OS) SyncDirectory(directory string) error {
	d, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
