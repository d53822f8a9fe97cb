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

func TestDecodeReportsAllFaultsWithTheirPositions(t *testing.T) {
	document, err := Parse("f.toml", []byte(`name = 5
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
	var decoded sample
	err = document.Decode(&decoded).Err()
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
		t.Errorf("error (-want +got):\n%s", diff)
	}
	if decoded.Share != 1 {
		t.Errorf("share is %v, want 1", decoded.Share)
	}
}

func TestSyntaxFaultNamesLineAndColumn(t *testing.T) {
	_, err := Parse("f.toml", []byte("a = 1\nb = [1,\nc = 2\n"))
	var faults Faults
	if !errors.As(err, &faults) || faults[0].Line != 3 || !strings.HasPrefix(err.Error(), "f.toml:3:") {
		t.Errorf("got %v, want faults of which the first is at f.toml:3", err)
	}
}

// A fault within a string points at the exact character, for each kind of TOML string.
func TestFaultWithinStringPointsAtCharacter(t *testing.T) {
	for name, text := range map[string]string{
		"basic string":                              `k = "ab@"`,
		"escape sequences":                          `k = "\"\u0062@"`,
		"literal string":                            `k = 'ab@'`,
		"multi-line literal string":                 "k = '''\nab@'''",
		"multi-line string with escaped line break": "k = \"\"\"\\\n   ab@\"\"\"",
		"in a table":                                "k = 'ab@'",
	} {
		t.Run(name, func(t *testing.T) {
			document, err := Parse("f", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			fault := document.FaultWithin("k", 2, "here")
			line := strings.Split(text, "\n")[fault.Line-1]
			if []rune(line)[fault.Column-1] != '@' {
				t.Errorf("fault points at %d:%d of %q, want the @", fault.Line, fault.Column, text)
			}
			shown := strings.Split(fault.Snippet(), "\n")
			if strings.IndexByte(shown[1], '@') != strings.IndexByte(shown[2], '^') {
				t.Errorf("the caret is not below the @:\n%s", fault.Snippet())
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("a = 1\n[b]\nc = 'x'\n[[d]]\ne = [1, {f = \"\\u0041\"}]\n[[d.g]]\nh = 1"), 1)
	f.Add([]byte("a.b.c = \"\"\"\\\n  x\"\"\""), 0)
	f.Fuzz(func(t *testing.T, text []byte, offset int) {
		document, err := Parse("f", text)
		if err != nil {
			return
		}
		var decoded sample
		for _, fault := range document.Decode(&decoded) {
			_ = fault.Snippet()
		}
		for key := range document.spans {
			if fault := document.FaultWithin(key, offset, "x"); fault.Line < 1 || fault.Column < 1 {
				t.Errorf("fault within key %q is at %d:%d, want at least 1:1", key, fault.Line, fault.Column)
			}
		}
	})
}
