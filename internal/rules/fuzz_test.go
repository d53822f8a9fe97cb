package rules

import (
	"errors"
	"os"
	"testing"

	"reachpulley/internal/configfile"
)

// Loading any rule file gives either a set that evaluates any request, or a list of faults.
func FuzzLoad(f *testing.F) {
	example, err := os.ReadFile("../../examples/rules.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(example))
	f.Add(sheetRules)
	f.Add("[[limit]]\nname='l'\nkey='who'\nrate=1e300\nburst=-1\nparent='l'")
	f.Add("[[rule]]\nname='a'\nstage='key'\npath='/{a}/{b...}'\nset.key='hash(param(\"b\"))'")
	f.Add("sizes.headers = -5\nconst = {a = [1, {}], b = 2020-01-01}\nlet = [{name='x', is='x'}]")
	f.Add("const = {b = 2020-01-01}\n[[rule]]\nname='a'\nstage='key'\nwhen='b == 1'\nset.key='b'")
	f.Add("[[rule]]\nname='a'\nstage='key'\nwhen='default(headerOr(), \"x\") == \"y\"'\nset.hosts='1'")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse("r", []byte(text), settings)
		if err != nil {
			var faults configfile.Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("the error is not a list of faults: %v", err)
			}
			return
		}
		for _, target := range []string{"/", "/api/a/b", "/a//b?x=1"} {
			set.Explain(request("PUT", target, "X-Project", "p"))
		}
	})
}

// Parsing any text gives either an error or a request with a method and a header map.
func FuzzParseRequest(f *testing.F) {
	f.Add("GET /a?b=c HTTP/1.1\r\nHost: h\r\nArrival: 2026-12-01T00:00:00Z\r\n\r\n")
	f.Add(`{"method":"PUT","target":"/a","headers":{"X":["y"]},"length":-5}`)
	f.Fuzz(func(t *testing.T, text string) {
		if f, err := ParseRequest(text); err == nil && (f.Method == "" || f.Header == nil) {
			t.Errorf("%q gives a request without a method or headers: %+v", text, f)
		}
	})
}
