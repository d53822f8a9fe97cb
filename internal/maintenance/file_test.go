package maintenance

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What one process stores, another one loads; each notices a change once.
func TestFileIsSharedBetweenProcesses(t *testing.T) {
	directory := t.TempDir()
	one, other := NewFile(directory), NewFile(directory)
	if _, changed, err := one.Load(); changed || err != nil {
		t.Fatalf("without a file: changed %v, error %v", changed, err)
	}
	if err := one.Store([]string{"b", "a"}); err != nil {
		t.Fatal(err)
	}
	if _, changed, err := one.Load(); changed || err != nil {
		t.Errorf("the process that stored: changed %v, error %v, want neither", changed, err)
	}
	offline, changed, err := other.Load()
	if diff := cmp.Diff([]string{"a", "b"}, offline); diff != "" || !changed || err != nil {
		t.Errorf("the other process: changed %v, error %v, nodes (-want +got):\n%s", changed, err, diff)
	}
	if _, changed, err := other.Load(); changed || err != nil {
		t.Errorf("the second load: changed %v, error %v, want neither", changed, err)
	}
}

// Damaged content and that of another version change nothing, and are reported once.
func TestDamagedFileIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"empty":         "",
		"torn":          `{"version":1,"offline":["a"`,
		"newer version": `{"version":2,"offline":["a"]}`,
		"other type":    `{"version":1,"offline":"a"}`,
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			file := NewFile(directory)
			if err := file.Store([]string{"a"}); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(directory, fileName), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, changed, err := file.Load(); changed || err == nil {
				t.Errorf("changed %v, error %v, want an error alone", changed, err)
			} else if name == "newer version" && !errors.Is(err, ErrVersion) {
				t.Errorf("error %v, want %v", err, ErrVersion)
			}
			if _, changed, err := file.Load(); changed || err != nil {
				t.Errorf("the second load: changed %v, error %v, want neither", changed, err)
			}
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"version":1,"offline":["a"]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		directory := t.TempDir()
		if err := os.WriteFile(filepath.Join(directory, fileName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		offline, changed, err := NewFile(directory).Load()
		if err != nil && (changed || len(offline) > 0) {
			t.Errorf("error %v with the nodes %q", err, offline)
		}
	})
}
