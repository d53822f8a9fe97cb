// Reachpulley is a gateway in front of storage nodes. It accepts requests of clients, lets package scheduler decide
// which node gets each of them and when, and answers each exactly once. Without arguments it serves.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// commands is the command line. Names of commands and flags follow from the names of the fields unless a tag says
// otherwise.
type commands struct {
	Serve serveCommand `cmd:"" default:"1" help:"Run the gateway (the default), configured by BALANCER_ variables."`
	Check checkCommand `cmd:"" help:"Check the whole configuration as a start does, and start nothing."`

	Rules   rulesCommands   `cmd:"" help:"Work with rule files."`
	Capture captureCommands `cmd:"" help:"Work with captures of the scheduler's events and actions."`
	API     apiCommands     `cmd:"" name:"api" help:"Work with descriptions of operations."`
	Zones   zonesCommands   `cmd:"" name:"rooms" help:"Show the state of zones, and simulate their loss and recovery."`

	Storm  stormCommand  `cmd:"" help:"Simulate a retry storm with and without retry budgets."`
	Replay replayCommand `cmd:"" help:"Replay a capture and compare every action with the recorded one."`
	Demo   demoCommand   `cmd:"" help:"Run a gateway, a discovery and two stand-in nodes on free loopback ports."`

	Version    versionCommand            `cmd:"" help:"Show the version."`
	Completion kongcompletion.Completion `cmd:"" help:"Show how to complete commands in bash, zsh or fish."`
}

// helpTexts are help texts that several flags and arguments share, or that are too long for a tag.
var helpTexts = kong.Vars{
	"settings_help": "The gateway's configuration, whose settings name classes and plans. " +
		"By default that of BALANCER_CONFIG.",
	"descriptions_help": "OpenAPI or AsyncAPI descriptions, JSON or YAML.",
	"time_help":         "a duration of the recorder's clock, a time, or a time of day (UTC)",

	"request_source_help": "A request, a file with one, or - for standard input: " +
		"the head of an HTTP/1.1 message or JSON.",
	"requests_help": "Requests: JSON by lines, or heads with blank lines between them.",
	"request_help": "A method and a path, as 'PUT /sheets/7', with headers in lines of their own, " +
		"or JSON as rules take it.",

	"verify_help": "Check that a capture is intact and, with --rules, that it obeys the deployment's rules.",
	"hash_help": "Write a copy with keyed hashes in place of ids, volumes and keys; " +
		"it replays as the original does.",
	"hash_key_help": "A file that holds the key: 16 bytes at least. The same key gives the same hashes.",

	"with_help": "Replay the arrivals on other settings, a file in the platform's form, " +
		"and compare how they would have ended.",
	"against_help":  "Have another build of this program replay the arrivals and compare how they would have ended.",
	"tally_help":    "Print as JSON how the arrivals would have ended, as --against of another build reads it.",
	"property_help": "breach, breach=RULE, refused=ID, failed=ID, sent=ID, sent=ID@NODE or crash",
}

// environment is what commands use of their process.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	isTerminal     bool // stderr is one
}

func main() {
	os.Exit(run(os.Args[1:], environment{
		stdin:      os.Stdin,
		stdout:     os.Stdout,
		stderr:     os.Stderr,
		getenv:     os.Getenv,
		isTerminal: isTerminal(os.Stderr),
	}))
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// run executes a command and returns the exit code.
func run(args []string, env environment) int {
	if len(args) == 0 { // parsing the command line would cost a gateway 1 MB
		return exitCode(serveCommand{}.Run(env))
	}
	var commandLine commands
	const notExited = -1
	code := notExited
	parser, err := kong.New(&commandLine,
		kong.Name("reachpulley"),
		kong.Description("A protocol-translating gateway before storage nodes."),
		kong.Writers(env.stdout, env.stderr),
		kong.Exit(func(exitCode int) { code = exitCode }),
		kong.UsageOnError(),
		kong.Bind(env, &commandLine.Rules),
		helpTexts,
	)
	if err != nil {
		panic(err) // the tags of commands are wrong, whatever the arguments
	}
	kongcompletion.Register(parser)
	ctx, err := parser.Parse(args)
	if code != notExited { // help was requested
		return code
	}
	if err != nil {
		fmt.Fprintf(env.stderr, "reachpulley: %v\n", err)
		return exitUsage
	}
	return exitCode(ctx.Run())
}
