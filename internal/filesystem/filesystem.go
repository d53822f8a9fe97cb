// Package filesystem defines the file system operations that stored state needs, as the interface FS. OS implements it
// with the machine's file system. Package filesystemtest implements it in memory and can simulate the loss of unsynced
// data, lack of space and failing syncs.
package filesystem

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
)

// FS is a file system. Names are paths. The directories in them must exist already.
type FS interface {
	// Create creates a file and opens it for appending. It fails with fs.ErrExist if the file exists.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Truncate shortens a file to a size in bytes and syncs it.
	Truncate(name string, size int64) error
	// Remove removes a file.
	Remove(name string) error
	// Rename renames a file. It replaces an existing file with the new name.
	Rename(from, to string) error
	// List returns the regular files in a directory, sorted by name.
	List(directory string) ([]Info, error)
	// SyncDirectory makes the creations, removals and renames in a directory durable.
	SyncDirectory(directory string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable. After an error it is unknown which data is durable, and the file must not be
	// used any more.
	Sync() error
}

// Info describes a file.
type Info struct {
	Name string // without the directory
	Size int64  // in bytes
}

// temporarySuffix marks files that may be incomplete.
const temporarySuffix = ".part"

// ReplaceFile creates a file or replaces its content atomically: it writes the content to a temporary file, syncs that
// file, renames it and syncs the directory.
func ReplaceFile(f FS, name string, content []byte) error {
	temporary := name + temporarySuffix
	// An earlier process may have stopped before it renamed or removed the temporary file.
	if err := f.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	out, err := f.Create(temporary)
	if err != nil {
		return err
	}
	err = writeSynced(out, content)
	if err == nil {
		err = f.Rename(temporary, name)
	}
	if err != nil {
		return errors.Join(err, f.Remove(temporary)) // the incomplete file is of no use and takes up space
	}
	return f.SyncDirectory(filepath.Dir(name))
}

// writeSynced writes the content to a file, syncs it and closes it.
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
var ErrTooLarge = errors.New("file is too large")

// ReadFile returns the content of a file. It fails with ErrTooLarge if the file has more than maxBytes bytes.
func ReadFile(f FS, name string, maxBytes int64) ([]byte, error) {
	in, err := f.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	content, err := io.ReadAll(io.LimitReader(in, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		err = fmt.Errorf("read %q: %w: more than %d bytes", name, ErrTooLarge, maxBytes)
	}
	return content, err
}
