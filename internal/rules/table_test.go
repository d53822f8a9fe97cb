package rules

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Every run draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

// drawSet draws a file of rules whose conditions overlap in many ways. Rules that could never match are left out as the
// loader names them.
func drawSet(t *rapid.T) *Set {
	paths := rapid.SampledFrom([]string{"", "/a", "/a/{x}", "/{x}", "/{x}/b", "/a/b", "/a/{rest...}", "/{x}/{y}", "/a/{x}/c", "/{rest...}"})
	terms := rapid.SampledFrom([]string{`method == "GET"`, `method == "PUT"`, `header("X-A") == "1"`, `header("X-A") == "2"`,
		`header("X-B") == "1"`, `"1" == header("X-B")`, `path == "/a/b"`, `path startsWith "/a"`, `has("X-B")`, `length > 5`, `header("X-A") == ""`})
	var text strings.Builder
	text.WriteString("budget = 1000000\n")
	var kept *Set
	for i := range rapid.IntRange(1, 30).Draw(t, "rules") {
		before := text.String()
		fmt.Fprintf(&text, "[[rule]]\nname = 'r%d'\nstage = 'key'\npath = '%s'\n", i, paths.Draw(t, "path"))
		if n := rapid.IntRange(0, 3).Draw(t, "terms"); n > 0 {
			fmt.Fprintf(&text, "when = '%s'\n", strings.Join(rapid.SliceOfN(terms, n, n).Draw(t, "when"), " && "))
		}
		fmt.Fprintf(&text, "set.hosts = '%d'\n", i+1)
		s, err := Parse("r", []byte(text.String()), settings)
		if err != nil {
			if !strings.Contains(err.Error(), "can never match") {
				t.Fatal(err)
			}
			text.Reset()
			text.WriteString(before)
			continue
		}
		kept = s
	}
	if kept == nil {
		t.Skip("no rule was kept")
	}
	return kept
}

// The index must find what the plain scan finds, whatever the rules and the request, and no request may cost more than
// was reckoned at load.
func TestIndexEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		for range 20 {
			pick := func(name string, of ...string) string { return rapid.SampledFrom(of).Draw(t, name) }
			f := request(pick("method", "GET", "PUT"), pick("path", "/", "/a", "/a/", "/b", "/a/b", "/c/b", "/a/x/c", "/a/b/c/d", "/x/y"))
			for _, h := range []string{"X-A", "X-B"} {
				if v := pick(h, "", "none", "1", "2"); v != "none" {
					f.Header.Set(h, v)
				}
			}
			f.Length = rapid.IntRange(0, 10).Draw(t, "length")
			got, err := s.run(f, indexed)
			want, err2 := s.run(f, scanned)
			if fmt.Sprint(err) != fmt.Sprint(err2) || got.Hosts != want.Hosts || got.By[Hosts] != want.By[Hosts] {
				t.Fatalf("index %d (%v), scan %d (%v)", got.Hosts, err, want.Hosts, err2)
			}
			if got.Cost > s.Cost {
				t.Fatalf("cost %d, reckoned at most %d", got.Cost, s.Cost)
			}
		}
	})
}

// A rule that the loader calls dead never matches where the others are there.
func TestTemplates(t *testing.T) {
	for text, c := range map[string]struct{ takes, leaves string }{
		"":              {"/ /a /a/b", ""},
		"/":             {"/", "/a"},
		"/a":            {"/a", "/ /b /a/b /a/"},
		"/a/{x}":        {"/a/b", "/a /a/ /a/b/c /b/c"},
		"/a/{rest...}":  {"/a /a/b /a/b/c", "/ /b"},
		"/{x}/b/{y...}": {"/q/b /q/b/c", "/q /b/q"},
	} {
		_, err := parseTemplate(text)
		if err != nil {
			t.Fatal(err)
		}
		s := parse(t, fmt.Sprintf("[[rule]]\nname='a'\nstage='key'\npath='%s'\nset.hosts='1'", text))
		for path := range strings.FieldsSeq(c.takes + " " + c.leaves) {
			r, err := s.one(request("GET", path))
			if want := strings.Contains(" "+c.takes+" ", " "+path+" "); err != nil || r.Has[Hosts] != want {
				t.Errorf("%q takes %s: %v", text, path, r.Has[Hosts])
			}
		}
	}
	for _, text := range []string{"a", "/{x", "/x}", "/{}", "/{x}/{x}", "/{x...}/a", "/a//b", "/" + strings.Repeat("a/", 40)} {
		if _, err := parseTemplate(text); err == nil {
			t.Errorf("%q is taken", text)
		}
	}
}

func TestAnEvaluatorKeepsNothingOfARequest(t *testing.T) {
	s := parse(t, sheets)
	first, err := s.one(request("GET", "/api/one/1", "X-Project", "one", "X-Crew", "c"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.one(request("GET", "/api/one/1", "X-Project", "two", "X-Crew", "c"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first.Key, second.Key); diff == "" {
		t.Error("a named expression kept the value of an earlier request")
	}
	if _, err := s.one(request("GET", "/api/one/1", "X-Crew", "c")); err == nil {
		t.Error("a named expression kept a header of an earlier request")
	}
}
