package main

import (
	"strings"
	"testing"
)

func TestSimulationCommands(t *testing.T) {
	runCommandCases(t, []commandCase{
		{
			args: []string{"storm", "--runs", "1", "--length", "40s", "--plot"},
			code: exitSuccess,
			want: []string{"plain proxy", "no retry budgets", "retry budgets", "served a second; the slow time"},
		},
		{
			args: []string{"storm", "--runs", "0"},
			code: exitUsage,
			want: []string{"--runs must be from 1 to 100"},
		},
		{
			args: []string{"storm", "--share", "9"},
			code: exitUsage,
			want: []string{"--share: 9 is not from 0 to 3"},
		},
		{
			args: []string{"rooms", "play", "--dark", "5s", "--plot"},
			code: exitSuccess,
			want: []string{
				"without zone failover",
				"with zone failover",
				"new work spilled over into another zone",
				"highest load of a node in slow start",
			},
		},
		{
			args: []string{"rooms", "play", "--part", "0"},
			code: exitUsage,
			want: []string{"flag out of range: --rooms must be from 2 to 100"},
		},
		{
			args: []string{"rooms", "state", exampleDescription},
			code: exitUsage,
			want: []string{"capture: not a capture file"},
		},
	}, strings.NewReplacer())
}
