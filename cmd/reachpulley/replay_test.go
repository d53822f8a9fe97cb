package main

import "testing"

// replayCases run in order, because some read files that others wrote. $DIR stands for the directory of the files that
// newCaptureFiles writes, $ID for the id of a request that was sent to a node. Two further files in $DIR stand in for
// other builds of the program: "other-build" prints a valid summary, "faulty-build" something else.
var replayCases = []commandCase{
	{
		args: []string{"replay", "--with", "$DIR/config.json", "--plot", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"An open loop", "other settings, open loop", "rejected per second"},
	},
	{
		args: []string{"replay", "--with", "$DIR/key", "$DIR/whole"},
		code: exitUsage,
		want: []string{"key: "},
	},
	{
		args: []string{"replay", "--against", "$DIR/other-build", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"the other build, open loop"},
	},
	{
		args: []string{"replay", "--against", "$DIR/faulty-build", "$DIR/whole"},
		code: exitUsage,
		want: []string{"faulty-build: the output of replay --tally cannot be parsed"},
	},
	{
		args: []string{"replay", "--tally", "$DIR/whole"},
		code: exitSuccess,
		want: []string{`"Classes":[`},
	},
	{
		args: []string{"replay", "--shrink", "--keep", "sent=$ID", "--out", "$DIR/small.capture", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"small.capture: ", "small_test.go: "},
	},
	{
		args: []string{"replay", "$DIR/small.capture"},
		code: exitSuccess,
		want: []string{"every action as recorded"},
	},
	{
		args: []string{"replay", "--shrink", "--keep", "late", "--out", "$DIR/x", "$DIR/whole"},
		code: exitUsage,
		want: []string{`--keep: property "late" is none of`},
	},
	{
		args: []string{"replay", "--shrink", "--keep", "breach", "--out", "$DIR/x", "$DIR/whole"},
		code: exitUsage,
		want: []string{"does not hold on the whole capture"},
	},
	{
		args: []string{"replay", "--at", "07:00:03", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"requests are open", "n0", "gold"},
	},
	{
		args: []string{"replay", "--at", "later", "$DIR/whole"},
		code: exitUsage,
		want: []string{`--at: "later" is neither`},
	},
	{
		args: []string{"replay", "--why", "absent", "$DIR/whole"},
		code: exitUsage,
		want: []string{`holds no record of the request "absent"`},
	},
	{
		args: []string{"replay", "--why", "1", "--at", "1s", "$DIR/whole"},
		code: exitUsage,
	},
}

func TestReplayCommands(t *testing.T) {
	files := newCaptureFiles(t)
	_, summary, _ := runCommand(t, nil, "replay", "--tally", files.whole)
	files.write(t, "other-build", []byte("#!/bin/sh\ncat <<'END'\n"+summary+"END\n"), 0o700)
	files.write(t, "faulty-build", []byte("#!/bin/sh\necho no\n"), 0o700)
	runCommandCases(t, replayCases, files.replacer(t))
}
