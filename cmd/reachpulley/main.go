// Reachpulley is a gateway in front of storage nodes. It accepts requests from clients, lets package scheduler
// decide which node gets each request and when, and answers each request exactly once. Without arguments it runs the
// gateway; its other commands check configurations, work with rule files, captures and descriptions, and run
// simulations.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// commands defines the command line. kong derives the names of commands and flags from the names of the fields, unless
// a tag gives another name.
type commands struct {
	Serve serveCommand `cmd:"" default:"1" help:"Run the gateway (the default), configured by the BALANCER_ variables."`
	Check checkCommand `cmd:"" help:"Check the whole configuration as at startup, without starting anything."`

	Rules   rulesCommands   `cmd:"" help:"Work with rule files."`
	Capture captureCommands `cmd:"" help:"Work with captures of the scheduler's events and actions."`
	API     apiCommands     `cmd:"" name:"api" help:"Work with descriptions of operations."`
	Zones   zonesCommands   `cmd:"" name:"rooms" help:"Show the state of zones, and simulate their loss and recovery."`

	Storm  stormCommand  `cmd:"" help:"Simulate a retry storm with and without retry budgets."`
	Replay replayCommand `cmd:"" help:"Replay a capture and compare every action with the recorded one."`
	Demo   demoCommand   `cmd:"" help:"Run a gateway, discovery and two stand-in nodes on free loopback ports."`

	Version    versionCommand            `cmd:"" help:"Show the version."`
	Completion kongcompletion.Completion `cmd:"" help:"Show how to complete commands in bash, zsh or fish."`
}

// helpTexts holds the help texts that several flags and arguments share or that are too long for a tag.
var helpTexts = kong.Vars{
	"settings_help": "The gateway's configuration file, whose settings define classes and plans. " +
		"Default: the file that BALANCER_CONFIG names.",
	"descriptions_help": "OpenAPI or AsyncAPI descriptions, in JSON or YAML.",
	"demo_config_help": "A configuration in place of the built-in one. The demo's discovery listens at the address " +
		"that it names.",
	"time_help": "a duration on the recorder's clock, a date and time, or a time of day (UTC)",

	"request_source_help": "A request, a file that holds one, or - for standard input. " +
		"A request is the head of an HTTP/1.1 message, or JSON.",
	"requests_help": "A file of requests: a JSON object on each line, or heads of HTTP/1.1 messages " +
		"with blank lines between them.",
	"request_help": "A request: a method and a path, such as 'PUT /sheets/7', with headers on lines of their own, " +
		"or JSON in the form that 'rules explain' reads.",

	"verify_help": "Check that a capture is intact and, with --rules, that it obeys the deployment's rules.",
	"hash_help": "Write a copy of a capture with keyed hashes in place of ids, volumes and keys; " +
		"the copy replays as the original does.",
	"hash_key_help": "A file that holds the key of the hashes, at least 16 bytes. The same key gives the same hashes.",

	"with_help": "Replay the recorded arrivals with the settings in a file of the platform's format, " +
		"and compare the outcomes.",
	"against_help":  "Have another build of this program replay the recorded arrivals, and compare the outcomes.",
	"tally_help":    "Print the outcomes of the replayed arrivals as JSON, which another build reads for --against.",
	"property_help": "breach, breach=RULE, refused=ID, failed=ID, sent=ID, sent=ID@NODE or crash",
}

// environment holds what commands use of their process.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	isTerminal     bool // whether stderr is a terminal
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

// run executes the command that args name and returns its exit code.
func run(args []string, env environment) int {
	if len(args) == 0 { // the parser of the command line would cost the gateway 1 MB of memory
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
		panic(err) // a struct tag of commands is wrong, whatever the arguments
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
