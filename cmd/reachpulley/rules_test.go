package main

import (
	"fmt"
	"strings"
	"testing"

	"reachpulley/examples"
)

const exampleRules = "../../examples/rules.toml"

// rulesCases are runs of the command "rules" with the expected exit code and parts of the output. In the arguments,
// $FAULTY, $FAILING, $CHANGED and $REQUESTS stand for files that TestRulesCommands writes.
var rulesCases = map[string]struct {
	args           []string
	code           int
	stdout, stderr string
}{
	"check": {
		args:   []string{"check", exampleRules},
		code:   exitSuccess,
		stdout: "rules.toml: good",
	},
	"check a faulty and a valid file": {
		args:   []string{"check", "$FAULTY", exampleRules},
		code:   exitUsage,
		stdout: "rules.toml: good",
		stderr: "rule[1].stage: \"x\" is none of",
	},
	"check, as JSON": {
		args:   []string{"--json", "check", exampleRules},
		code:   exitSuccess,
		stdout: `"rules": 10`,
	},
	"check shows the line at fault": {
		args:   []string{"check", "$FAULTY"},
		code:   exitUsage,
		stderr: "    set.class = 'heder(\"X\")'\n                 ^\n",
	},
	"explain": {
		args:   []string{"explain", exampleRules, "--request", "GET /api/bridge/sheets/7"},
		code:   exitSuccess,
		stdout: "gives class               = sheet-read (sheet)",
	},
	"explain, as JSON": {
		args:   []string{"--json", "explain", exampleRules, "--request", `{"target":"/api/a/sheets/7"}`},
		code:   exitSuccess,
		stdout: `"class": "sheet-read (sheet)"`,
	},
	"explain a malformed request": {
		args:   []string{"explain", exampleRules, "--request", "nonsense"},
		code:   exitUsage,
		stderr: "request: malformed HTTP request",
	},
	"test": {
		args:   []string{"test", exampleRules},
		code:   exitSuccess,
		stdout: "6 passed, 0 failed",
	},
	"a test fails": {
		args:   []string{"test", "$FAILING"},
		code:   exitFailure,
		stdout: `units: "4", want "5"`,
	},
	"bench": {
		args:   []string{"bench", "--time", "1ms", exampleRules},
		code:   exitSuccess,
		stdout: "allocations",
	},
	"diff": {
		args:   []string{"diff", exampleRules, "$CHANGED", "--requests", "$REQUESTS"},
		code:   exitSuccess,
		stdout: "1 of 2 requests differ",
	},
	"diff of a file with itself": {
		args:   []string{"diff", exampleRules, exampleRules, "--requests", "$REQUESTS"},
		code:   exitSuccess,
		stdout: "0 of 2 requests differ",
	},
}

func TestRulesCommands(t *testing.T) {
	variables := map[string]string{"BALANCER_CONFIG": writeFile(t, "config.json", string(examples.Config()))}
	example := readFile(t, exampleRules)
	changed := strings.Replace(example, "units = '4' }", "units = '3' }", 1)
	failing := strings.Replace(example, `units = "4", volume`, `units = "5", volume`, 1)
	const faulty = "[[rule]]\nname = 'a'\nstage = 'classify'\nset.class = 'heder(\"X\")'\n" +
		"[[rule]]\nname = 'b'\nstage = 'x'"
	const requests = "GET /api/bridge/sheets/7\n\nPUT /api/bridge/notes\nX-Project: q\n"
	faultyPath := writeFile(t, "faulty.toml", faulty)
	replacer := strings.NewReplacer(
		"$CHANGED", writeFile(t, "changed.toml", changed),
		"$FAILING", writeFile(t, "failing.toml", failing),
		"$FAULTY", faultyPath,
		"$REQUESTS", writeFile(t, "requests", requests),
	)
	for name, c := range rulesCases {
		t.Run(name, func(t *testing.T) {
			args := []string{"rules"}
			for _, arg := range c.args {
				args = append(args, replacer.Replace(arg))
			}
			code, stdout, stderr := runCommand(t, variables, args...)
			if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
				t.Errorf("exit code %d, want %d\nstdout: %s\nwant %q\nstderr: %s\nwant %q",
					code, c.code, stdout, c.stdout, stderr, c.stderr)
			}
		})
	}
	operator := fmt.Sprintf("[rules]\nfile = %q\nshadow = %q\n", exampleRules, faultyPath)
	variables["BALANCER_OPERATOR"] = writeFile(t, "operator.toml", operator)
	code, _, stderr := runCommand(t, variables, "check")
	if code != exitUsage || !strings.Contains(stderr, "faulty.toml:4:") {
		t.Errorf("check of a configuration with a faulty rule file: exit code %d, want %d and the fault in line 4\n%s",
			code, exitUsage, stderr)
	}
}
