// Package filesystem is the part of a file system that stored state needs, behind an interface: OS is the file system
// of the machine, and package filesystemtest has one that loses unsynced data, runs out of space and fails to sync.
package filesystem

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
)

// FS is a file system. Names are paths, and directories exist.
type FS interface {
	// Create creates a file to append to. It fails with fs.ErrExist if the name is taken.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Truncate cuts a file to a size and syncs it.
	Truncate(name string, size int64) error
	// Remove removes a file.
	Remove(name string) error
	// Rename renames a file and replaces the one that had the new name, if any.
	Rename(from, to string) error
	// List returns the regular files of a directory, ordered by name.
	List(directory string) ([]Info, error)
	// SyncDirectory makes the creations, removals and renames in a directory durable.
	SyncDirectory(directory string) error
}

// File is a file that is written.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable. After an error it is unknown what is durable: the file is not to be used any
	// more.
	Sync() error
}

// Info describes a file.
type Info struct {
	Name string // without the directory
	Size int64
}

// partSuffix marks files that are not complete.
const partSuffix = ".part"

// ReplaceFile replaces a file, or creates it, completely or not at all: the content is written under another name,
// synced, and renamed.
func ReplaceFile(f FS, name string, content []byte) error {
	part := name + partSuffix
	// A previous incarnation may have left one.
	if err := f.Remove(part); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	out, err := f.Create(part)
	if err != nil {
		return err
	}
	err = writeSynced(out, content)
	if err == nil {
		err = f.Rename(part, name)
	}
	if err != nil {
		return errors.Join(err, f.Remove(part)) // an incomplete file only takes space
	}
	return f.SyncDirectory(filepath.Dir(name))
}

// writeSynced writes a file, syncs and closes it.
func writeSynced(out File, content []byte) error {
	_, err := out.Write(content)
	if err == nil {
		err = out.Sync()
	}
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}

// ErrTooLarge means that a file is larger than its reader allows.
var ErrTooLarge = errors.New("the file is too large")

// ReadFile returns the content of a file. It fails with ErrTooLarge if that is more than maxBytes.
func ReadFile(f FS, name string, maxBytes int64) ([]byte, error) {
	in, err := f.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	content, err := io.ReadAll(io.LimitReader(in, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, maxBytes)
	}
	return content, err
}
