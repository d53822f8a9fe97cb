package rules

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/configfile"
)

// readClass is a line of a rule that sets the class that only reads.
const readClass = `set.class = '"sheet-read"'`

// classifyRule returns a rule named a of the stage classify with further lines.
func classifyRule(lines ...string) string {
	return "[[rule]]\nname = 'a'\nstage = 'classify'\n" + strings.Join(lines, "\n")
}

// keyRule returns a rule named a of the stage key with further lines.
func keyRule(lines ...string) string {
	return "[[rule]]\nname = 'a'\nstage = 'key'\n" + strings.Join(lines, "\n")
}

// faultyFile is the text of a rule file and a substring of the error that loading it must return. If want is empty, the
// file must load.
type faultyFile struct{ text, want string }

var faultyExpressions = map[string]faultyFile{
	"a syntax error": {
		classifyRule(`when = 'method =='`, readClass),
		"r.toml:4:17: rule[0].when: unexpected token EOF",
	},
	"operands of different types": {
		classifyRule(`when = 'method == 5'`, readClass),
		"r.toml:4:16: rule[0].when: invalid operation: == (mismatched types string and int)",
	},
	"a condition that is not a bool": {
		classifyRule(`when = 'method'`, readClass),
		"r.toml:4:9: rule[0].when: the expression is a string, want bool",
	},
	"an unknown name": {
		classifyRule(`when = 'methd == "GET"'`, readClass),
		`r.toml:4:9: rule[0].when: unknown name methd; did you mean "method"?`,
	},
	"a hidden name": {
		classifyRule(`when = 'headerOr("X", "") == ""'`, readClass),
		"rule[0].when: unknown name headerOr",
	},
	"a name not yet known": {
		"[[rule]]\nname = 'a'\nstage = 'normalise'\nset.who = 'who'",
		"rule[0].set.who: who is not known before",
	},
	"an unknown zone": {
		keyRule("set.key = 'hash(date(arrival, \"Europe/Zagrb\"))'"),
		`rule[0].set.key: "Europe/Zagrb" is not a time zone`,
	},
	"a computed zone": {
		keyRule("set.key = 'hash(date(arrival, path))'"),
		"rule[0].set.key: date requires a constant as argument 2",
	},
	"an invalid pattern": {
		classifyRule(`when = 'path matches "("'`, readClass),
		"rule[0].when: error parsing regexp: missing closing )",
	},
	"a pattern over a header": {
		classifyRule(`when = 'header("X") matches "^(a+)+$"'`, readClass),
		"more than the budget of 20000 (estimated nanoseconds a request); the costliest expression costs",
	},
	"a parameter that the path does not name": {
		keyRule("path = '/x/{y}'", "set.key = 'hash(param(\"z\"))'"),
		"rule[0].set.key: the rule's path has no segment {z}",
	},
	"a map": {
		classifyRule(`when = '{"a": 1}.a == 1'`, readClass),
		"rule[0].when: ",
	},
	"a loop over a range": {
		classifyRule(`when = 'any(1..100000, # > 0)'`, readClass),
		"rule[0].when: ",
	},
	"deep nesting that is allowed": {
		classifyRule(`when = '`+strings.Repeat("(", 2000)+"true"+strings.Repeat(")", 2000)+`'`, readClass),
		"",
	},
	"nesting that is too deep": {
		classifyRule(`when = '`+strings.Repeat("!", 4000)+`true'`, readClass),
		"rule[0].when: ",
	},
	"an expression that is too long": {
		classifyRule(`when = 'path == "`+strings.Repeat("x", 5000)+`"'`, readClass),
		"rule[0].when: the expression has 5010 bytes, more than the limit of 4096",
	},
}

var faultyRules = map[string]faultyFile{
	"an unknown class": {
		classifyRule(`set.class = '"sheet-red"'`),
		`r.toml:4:1: rule[0].set.class: wants a class of the settings in place of "sheet-red"; ` +
			`did you mean "sheet-read"?`,
	},
	"an unknown plan": {
		classifyRule(`set.plan = '"tin"'`),
		`rule[0].set.plan: wants a plan of the settings in place of "tin"`,
	},
	"a read class for a method that writes": {
		classifyRule(`when = 'method == "PUT"'`, readClass),
		`rule[0].set.class: class "sheet-read" only reads, but the rule matches PUT`,
	},
	"a rule after one that matches all": {
		classifyRule(readClass) + "\n" +
			strings.Replace(classifyRule(`when = 'method == "GET"'`, readClass), "'a'", "'b'", 1),
		"r.toml:6:1: rule[1].name: rule b can never match: rule a at r.toml:1 matches every request that it would",
	},
	"a contradiction": {
		classifyRule(`when = 'method == "GET" && method == "HEAD"'`, readClass),
		`rule a can never match: method can't be both "GET" and "HEAD"`,
	},
	"a condition that never holds": {
		classifyRule(`when = 'false'`, readClass),
		"rule a can never match: its condition is always false",
	},
	"a path that does not begin with a slash": {
		classifyRule(`path = 'x'`, readClass),
		`rule[0].path: "x" does not begin with /`,
	},
	"a field of another stage": {
		classifyRule(`set.key = '"x"'`),
		"rule[0].set.key: key is set in the stage key, not in classify",
	},
	"an unknown field": {
		classifyRule(`set.clas = '"x"'`),
		`rule[0].set.clas: no rule can set "clas"; did you mean "class"?`,
	},
	"an unknown stage": {
		strings.Replace(classifyRule(readClass), "classify", "clasify", 1),
		`rule[0].stage: "clasify" is none of normalise, classify, key; did you mean "classify"?`,
	},
	"a rule that sets nothing": {
		classifyRule(),
		"rule[0]: rule a sets nothing",
	},
	"a later version of the file format": {
		"version = 2",
		"version: 2 is not supported",
	},
	"an unknown key of a rule": {
		classifyRule("wenn = 'x'", readClass),
		`rule[0].wenn: unknown key; did you mean "when"?`,
	},
}

// Loading a file with one fault returns just that fault, with its position and what is wrong.
func TestFaultsAtLoad(t *testing.T) {
	for _, files := range []map[string]faultyFile{faultyExpressions, faultyRules} {
		for name, file := range files {
			t.Run(name, func(t *testing.T) {
				_, err := Parse("r.toml", []byte(file.text), settings)
				if file.want == "" {
					if err != nil {
						t.Errorf("error %v, want none", err)
					}
					return
				}
				var faults configfile.Faults
				if !errors.As(err, &faults) || len(faults) != 1 || !strings.Contains(err.Error(), file.want) {
					t.Errorf("error %v, want one fault that contains %q", err, file.want)
				}
			})
		}
	}
}

// Loading reports all faults of a file at once, each with its position and its line.
func TestAllFaultsOfAFileAtOnce(t *testing.T) {
	_, err := Parse("r.toml", []byte(`[[rule]]
name = "a"
stage = "classify"
when = '''
header("X-A") ==
  heder("X-B")'''
set.class = '"none"'
`), settings)
	var faults configfile.Faults
	errors.As(err, &faults)
	want := `r.toml:6:3: rule[0].when: unknown name heder; did you mean "header"?
      heder("X-B")'''
      ^
r.toml:7:1: rule[0].set.class: wants a class of the settings in place of "none"
    set.class = '"none"'
    ^
`
	var got strings.Builder
	for _, fault := range faults {
		got.WriteString(fault.Snippet() + "\n")
	}
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}
