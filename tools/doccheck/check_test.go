package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestCheckFindsMissingDocComments(t *testing.T) {
	root := t.TempDir()
	files := map[string]string{
		"good/good.go": "// Package good is documented.\npackage good\n\n" +
			"// Exported is documented.\nfunc Exported() {}\n\n" +
			"func internal() {}\n",
		"bad/bad.go": "package bad\n\nfunc Function() {}\n\ntype Type struct{}\n\nfunc (*Type) Method() {}\n\n" +
			"type private struct{}\n\n" +
			"func (private) Method() {}\n\nconst Constant = 1\n\n// Group is documented.\nconst (\n\tGrouped = 1\n)\n",
		"bad/bad_test.go":     "package bad\n\nfunc Helper() {}\n",
		"testdata/ignored.go": "package ignored\n",
	}
	for name, content := range files {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := check(root)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"bad/bad.go:3: Function has no doc comment",
		"bad/bad.go:5: Type has no doc comment",
		"bad/bad.go:7: Method has no doc comment",
		"bad/bad.go:13: Constant has no doc comment",
		"bad: the package has no doc comment",
	}
	if !slices.Equal(got, want) {
		t.Errorf("findings:\n%q\nwant:\n%q", got, want)
	}
}

func TestCheckFailsOnUnreadableSource(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "broken.go"), []byte("package"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := check(root); err == nil {
		t.Error("check of a file that cannot be parsed returned no error, want one")
	}
}
