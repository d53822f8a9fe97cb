package filesystemtest

import (
	"errors"
	"io"

	"reachpulley/internal/filesystem"
)

// ErrKilled is the error of all calls after the end of a process.
var ErrKilled = errors.New("the process has ended")

// Failing is a file system of which one call fails, counted from 1 over all calls that change something. A write fails
// after half of its bytes. If the error is ErrKilled, all later calls fail, too, as the process that makes them has
// ended.
type Failing struct {
	filesystem.FS
	FailedCall int
	Err        error

	calls int
}

// Reached reports whether the call that fails was made.
func (f *Failing) Reached() bool { return f.calls >= f.FailedCall }

// next counts a call and returns its error.
func (f *Failing) next() error {
	f.calls++
	if f.calls == f.FailedCall || f.calls > f.FailedCall && errors.Is(f.Err, ErrKilled) {
		return f.Err
	}
	return nil
}

// Create implements filesystem.FS.
func (f *Failing) Create(name string) (filesystem.File, error) {
	if err := f.next(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return &failingFile{File: file, disk: f}, err
}

// Truncate implements filesystem.FS.
func (f *Failing) Truncate(name string, size int64) error {
	return f.do(func() error { return f.FS.Truncate(name, size) })
}

// Remove implements filesystem.FS.
func (f *Failing) Remove(name string) error { return f.do(func() error { return f.FS.Remove(name) }) }

// Rename implements filesystem.FS.
func (f *Failing) Rename(from, to string) error {
	return f.do(func() error { return f.FS.Rename(from, to) })
}

// SyncDirectory implements filesystem.FS.
func (f *Failing) SyncDirectory(directory string) error {
	return f.do(func() error { return f.FS.SyncDirectory(directory) })
}

// do makes a call unless it fails.
func (f *Failing) do(call func() error) error {
	if err := f.next(); err != nil {
		return err
	}
	return call()
}

// failingFile is a file of a Failing.
type failingFile struct {
	filesystem.File
	disk *Failing
}

// Write implements io.Writer.
func (f *failingFile) Write(p []byte) (int, error) {
	if err := f.disk.next(); err != nil {
		n, writeErr := f.File.Write(p[:len(p)/2])
		return n, errors.Join(err, writeErr)
	}
	return f.File.Write(p)
}

// Sync implements filesystem.File.
func (f *failingFile) Sync() error { return f.disk.do(f.File.Sync) }

// Close implements io.Closer.
func (f *failingFile) Close() error {
	return errors.Join(f.disk.next(), io.Closer(f.File).Close())
}

// Walk calls play for every call that can fail and for each of the errors, with a new file system, until play has made
// no call that failed.
func Walk(errs []error, play func(disk *FS, failing *Failing)) {
	for _, err := range errs {
		for call := 1; ; call++ {
			disk := New()
			failing := &Failing{FS: disk, FailedCall: call, Err: err}
			play(disk, failing)
			if !failing.Reached() {
				break
			}
		}
	}
}
