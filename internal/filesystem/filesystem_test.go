package filesystem_test

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/filesystem"
	"reachpulley/internal/filesystem/filesystemtest"
)

// Whenever the power is lost while a file is replaced, either the former content or the new one is found.
func TestReplaceFileIsCompleteOrNotDone(t *testing.T) {
	before := []byte("former content")
	after := []byte("new content")
	for writtenBytes := range len(after) + 2 {
		disk := filesystemtest.New()
		disk.Put("d/file", before)
		disk.PowerLossAfter = writtenBytes
		err := filesystem.ReplaceFile(disk, "d/file", after)
		if lost := writtenBytes <= len(after); errors.Is(err, filesystemtest.ErrPower) != lost {
			t.Errorf("power lost after %d bytes: %v", writtenBytes, err)
		}
		found := disk.Restart(0).Content("d/file")
		if !bytes.Equal(found, before) && (err != nil || !bytes.Equal(found, after)) {
			t.Errorf("power lost after %d bytes: %q is found, error %v", writtenBytes, found, err)
		}
	}
}

// A replacement that fails leaves no incomplete file.
func TestReplaceFileRemovesItsPart(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(*filesystemtest.FS)
	}{
		{"full", func(f *filesystemtest.FS) { f.Capacity = 3 }},
		{"sync fails", func(f *filesystemtest.FS) { f.FailSync = 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			disk := filesystemtest.New()
			test.fail(disk)
			if err := filesystem.ReplaceFile(disk, "d/file", []byte("content")); err == nil {
				t.Error("no error")
			}
			if files, err := disk.List("d"); err != nil || len(files) > 0 {
				t.Errorf("left: %v, %v", files, err)
			}
		})
	}
}

func TestReadFileIsBounded(t *testing.T) {
	disk := filesystemtest.New()
	disk.Put("d/file", []byte("12345"))
	if content, err := filesystem.ReadFile(disk, "d/file", 5); err != nil || string(content) != "12345" {
		t.Errorf("%q, %v", content, err)
	}
	if _, err := filesystem.ReadFile(disk, "d/file", 4); !errors.Is(err, filesystem.ErrTooLarge) {
		t.Errorf("%v, want %v", err, filesystem.ErrTooLarge)
	}
	if _, err := filesystem.ReadFile(disk, "d/none", 4); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v, want %v", err, fs.ErrNotExist)
	}
}

// The file system of the machine does what the one in memory does.
func TestOS(t *testing.T) {
	directory := t.TempDir()
	path := func(name string) string { return filepath.Join(directory, name) }
	disk := filesystem.OS{}
	if err := filesystem.ReplaceFile(disk, path("b"), []byte("12345")); err != nil {
		t.Fatal(err)
	}
	if err := filesystem.ReplaceFile(disk, path("a"), []byte("1")); err != nil {
		t.Fatal(err)
	}
	if _, err := disk.Create(path("a")); !errors.Is(err, fs.ErrExist) {
		t.Errorf("%v, want %v", err, fs.ErrExist)
	}
	if err := disk.Truncate(path("b"), 2); err != nil {
		t.Error(err)
	}
	files, err := disk.List(directory)
	want := []filesystem.Info{{Name: "a", Size: 1}, {Name: "b", Size: 2}}
	if diff := cmp.Diff(want, files); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if err := disk.Remove(path("a")); err != nil {
		t.Error(err)
	}
	if err := disk.Rename(path("b"), path("c")); err != nil {
		t.Error(err)
	}
	content, err := filesystem.ReadFile(disk, path("c"), 10)
	if err != nil || string(content) != "12" {
		t.Errorf("%q, %v", content, err)
	}
}
