package filesystem

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"
)

// OS implements FS with the file system of the machine.
type OS struct{}

var _ FS = OS{}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Open implements FS.
func (OS) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	file, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// List implements FS. It leaves out files that are removed while it reads the directory.
func (OS) List(directory string) (files []Info, err error) {
	entries, err := os.ReadDir(directory)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			files = append(files, Info{Name: entry.Name(), Size: info.Size()})
		}
	}
	slices.SortFunc(files, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return files, err
}

// SyncDirectory implements FS.
func (OS) SyncDirectory(directory string) error {
	d, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
