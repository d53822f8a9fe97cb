package rules

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Every run of the tests draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

var (
	drawnPaths = rapid.SampledFrom([]string{
		"", "/a", "/a/{x}", "/{x}", "/{x}/b", "/a/b", "/a/{rest...}", "/{x}/{y}", "/a/{x}/c", "/{rest...}",
	})
	drawnConditions = rapid.SampledFrom([]string{
		`method == "GET"`, `method == "PUT"`,
		`header("X-A") == "1"`, `header("X-A") == "2"`, `header("X-B") == "1"`, `"1" == header("X-B")`,
		`path == "/a/b"`, `path startsWith "/a"`, `has("X-B")`, `length > 5`, `header("X-A") == ""`,
	})
)

// drawRule draws a rule that sets hosts to a value that no other rule sets.
func drawRule(t *rapid.T, number int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[[rule]]\nname = 'r%d'\nstage = 'key'\npath = '%s'\n", number, drawnPaths.Draw(t, "path"))
	if n := rapid.IntRange(0, 3).Draw(t, "terms"); n > 0 {
		conditions := rapid.SliceOfN(drawnConditions, n, n).Draw(t, "when")
		fmt.Fprintf(&text, "when = '%s'\n", strings.Join(conditions, " && "))
	}
	fmt.Fprintf(&text, "set.hosts = '%d'\n", number+1)
	return text.String()
}

// drawSet draws a file of rules whose conditions overlap in many ways. Rules that the loader rejects because they can
// never match are left out.
func drawSet(t *rapid.T) *Set {
	text := "budget = 1000000\n"
	var set *Set
	for i := range rapid.IntRange(1, 30).Draw(t, "rules") {
		longer := text + drawRule(t, i)
		parsed, err := Parse("r", []byte(longer), settings)
		if err != nil {
			if !strings.Contains(err.Error(), "can never match") {
				t.Fatal(err)
			}
			continue
		}
		text = longer
		set = parsed
	}
	if set == nil {
		t.Skip("every rule was left out")
	}
	return set
}

// For any rules and any request, the index must lead to the same result as trying all rules, and the request must not
// cost more than was estimated at load.
func TestIndexEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		for range 20 {
			pick := func(name string, of ...string) string { return rapid.SampledFrom(of).Draw(t, name) }
			method := pick("method", "GET", "PUT")
			f := request(method, pick("path", "/", "/a", "/a/", "/b", "/a/b", "/c/b", "/a/x/c", "/a/b/c/d", "/x/y"))
			for _, header := range []string{"X-A", "X-B"} {
				if value := pick(header, "", "none", "1", "2"); value != "none" {
					f.Header.Set(header, value)
				}
			}
			f.BodyLength = rapid.IntRange(0, 10).Draw(t, "length")
			got, err := set.evaluateBy(indexCandidates, f)
			want, wantErr := set.evaluateBy(allCandidates, f)
			if fmt.Sprint(err) != fmt.Sprint(wantErr) || got.Hosts != want.Hosts ||
				got.SetBy[Hosts] != want.SetBy[Hosts] {
				t.Fatalf("hosts by the index %d (%v), by trying all rules %d (%v)", got.Hosts, err, want.Hosts, wantErr)
			}
			if got.Cost > set.Cost {
				t.Fatalf("cost %d, estimated at most %d", got.Cost, set.Cost)
			}
		}
	})
}

func TestPathTemplatesMatch(t *testing.T) {
	for template, paths := range map[string]struct{ matching, others string }{
		"":              {"/ /a /a/b", ""},
		"/":             {"/", "/a"},
		"/a":            {"/a", "/ /b /a/b /a/"},
		"/a/{x}":        {"/a/b", "/a /a/ /a/b/c /b/c"},
		"/a/{rest...}":  {"/a /a/b /a/b/c", "/ /b"},
		"/{x}/b/{y...}": {"/q/b /q/b/c", "/q /b/q"},
	} {
		t.Run("template "+template, func(t *testing.T) {
			if _, err := parsePathTemplate(template); err != nil {
				t.Fatal(err)
			}
			set := parse(t, fmt.Sprintf("[[rule]]\nname='a'\nstage='key'\npath='%s'\nset.hosts='1'", template))
			for path := range strings.FieldsSeq(paths.matching + " " + paths.others) {
				r, err := set.evaluate(request("GET", path))
				want := strings.Contains(" "+paths.matching+" ", " "+path+" ")
				if err != nil || r.Has[Hosts] != want {
					t.Errorf("%q matches %s: %v, want %v (error %v)", template, path, r.Has[Hosts], want, err)
				}
			}
		})
	}
	for _, template := range []string{
		"a", "/{x", "/x}", "/{}", "/{x}/{x}", "/{x...}/a", "/a//b", "/" + strings.Repeat("a/", 40),
	} {
		t.Run(fmt.Sprintf("invalid %.20s", template), func(t *testing.T) {
			if _, err := parsePathTemplate(template); err == nil {
				t.Errorf("%q is accepted as a template, want an error", template)
			}
		})
	}
}
