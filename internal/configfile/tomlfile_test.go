package configfile

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type sample struct {
	Name  string        `toml:"name"`
	Wait  time.Duration `toml:"wait"`
	Count int           `toml:"count"`
	Share float64       `toml:"share"`
	Table struct {
		On bool `toml:"on"`
	} `toml:"table"`
	List []struct {
		ID   int               `toml:"id"`
		Set  map[string]string `toml:"set"`
		Tags []string          `toml:"tags"`
	} `toml:"list"`
}

func TestAllFaultsAtOnceEachWithItsPlace(t *testing.T) {
	d, err := Parse("f.toml", []byte(`name = 5
wait = 7
count = 3.5
share = 1
shore = 1

[table]
on = "yes"

[[list]]
id = 1
tags = "one"

[[list]]
id = "two"
set = { a = "x", b = 2 }
extra = { deep = 1 }
`))
	if err != nil {
		t.Fatal(err)
	}
	var s sample
	err = d.Decode(&s).Err()
	want := `f.toml:1:1: name: want a string, got 5
f.toml:2:1: wait: want a duration such as "250ms", got 7
f.toml:3:1: count: want a whole number, got 3.5
f.toml:5:1: shore: unknown key; did you mean "share"?
f.toml:8:1: table.on: want true or false, got "yes"
f.toml:12:1: list[0].tags: want a list, got "one"
f.toml:15:1: list[1].id: want a whole number, got "two"
f.toml:16:18: list[1].set.b: want a string, got 2
f.toml:17:1: list[1].extra: unknown key`
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Error(diff)
	}
	if s.Share != 1 {
		t.Errorf("share %v", s.Share)
	}
}

func TestSyntaxFaultNamesLineAndColumn(t *testing.T) {
	_, err := Parse("f.toml", []byte("a = 1\nb = [1,\nc = 2\n"))
	var faults Faults
	if !errors.As(err, &faults) || faults[0].Line != 3 || !strings.HasPrefix(err.Error(), "f.toml:3:") {
		t.Errorf("%v", err)
	}
}

// A fault within a string is shown under the very character, whatever kind of string it stands in.
func TestFaultsWithinStrings(t *testing.T) {
	for name, text := range map[string]string{
		"basic":               `k = "ab@"`,
		"escaped":             `k = "\"\u0062@"`,
		"literal":             `k = 'ab@'`,
		"many lines":          "k = '''\nab@'''",
		"a backslashed break": "k = \"\"\"\\\n   ab@\"\"\"",
		"in a table":          "k = 'ab@'",
	} {
		d, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		f := d.FaultWithin("k", 2, "here")
		if at := strings.Split(text, "\n")[f.Line-1]; []rune(at)[f.Column-1] != '@' {
			t.Errorf("%s: points at %d:%d of %q", name, f.Line, f.Column, text)
		}
		if shown := strings.Split(f.Show(), "\n"); strings.IndexByte(shown[1], '@') != strings.IndexByte(shown[2], '^') {
			t.Errorf("%s:\n%s", name, f.Show())
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("a = 1\n[b]\nc = 'x'\n[[d]]\ne = [1, {f = \"\\u0041\"}]\n[[d.g]]\nh = 1"), 1)
	f.Add([]byte("a.b.c = \"\"\"\\\n  x\"\"\""), 0)
	f.Fuzz(func(t *testing.T, text []byte, offset int) {
		d, err := Parse("f", text)
		if err != nil {
			return
		}
		var s sample
		for _, fault := range d.Decode(&s) {
			_ = fault.Show()
		}
		for key := range d.places {
			if f := d.FaultWithin(key, offset, "x"); f.Line < 1 || f.Column < 1 {
				t.Errorf("%s is at %d:%d", key, f.Line, f.Column)
			}
		}
	})
}
