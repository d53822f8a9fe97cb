// Reachpulley is a gateway before storage nodes. It takes requests of clients, decides by package scheduler which
// goes to which node and when, and answers each of them once. Without arguments it serves.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// Exit codes.
const (
	exitGood   = 0
	exitFailed = 1 // at work
	exitUsage  = 2 // faulty use or configuration
)

// errUsage marks what the caller can put right: a faulty configuration or file.
var errUsage = errors.New("faulty use or configuration")

// commands is the command line.
type commands struct {
	Serve      serveCommand              `cmd:"" default:"1" help:"Run the gateway (the default). The environment's BALANCER_ variables tell it all."`
	Check      checkCommand              `cmd:"" help:"Check all configuration as a start would, and start nothing."`
	Rules      rulesCommands             `cmd:"" help:"Work with rule files."`
	Capture    captureCommands           `cmd:"" help:"Work with captures of the decisions."`
	API        apiCommands               `cmd:"" name:"api" help:"Work with descriptions of operations."`
	Rooms      roomsCommands             `cmd:"" help:"Tell what is believed of rooms, and play their loss and return."`
	Storm      stormCommand              `cmd:"" help:"Play a storm of failures in simulated time, with and without budgets of further attempts."`
	Replay     replayCommand             `cmd:"" help:"Play a capture of the decisions again and compare every action."`
	Demo       demoCommand               `cmd:"" help:"Run a gateway, a discovery and two stand-in nodes on free loopback ports."`
	Version    versionCommand            `cmd:"" help:"Tell the version."`
	Completion kongcompletion.Completion `cmd:"" help:"Tell how to complete commands in bash, zsh or fish."`
}

// streams are what commands read and write.
type streams struct {
	in       io.Reader
	out, err io.Writer
	getenv   func(string) string
}

func main() {
	terminal := false
	if info, err := os.Stderr.Stat(); err == nil {
		terminal = info.Mode()&os.ModeCharDevice != 0
	}
	os.Exit(run(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr, os.Getenv}, terminal))
}

// run carries out a command and gives the exit code.
func run(args []string, s streams, terminal bool) int {
	if len(args) == 0 { // a gateway has no use for the commands, and reading them would cost it 1 MB
		return exitCode(serveCommand{}.Run(s, terminalFlag(terminal)))
	}
	var c commands
	code := -1
	parser, err := kong.New(&c, kong.Name("reachpulley"), kong.Description("A protocol-translating gateway before storage nodes."),
		kong.Writers(s.out, s.err), kong.Exit(func(is int) { code = is }), kong.UsageOnError(), kong.Bind(s, terminalFlag(terminal), &c.Rules))
	if err != nil {
		panic(err) // the struct above is at fault
	}
	kongcompletion.Register(parser)
	ctx, err := parser.Parse(args)
	if code >= 0 { // help was asked for
		return code
	}
	if err != nil {
		fmt.Fprintf(s.err, "reachpulley: %v\n", err)
		return exitUsage
	}
	return exitCode(ctx.Run())
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitGood
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailed
}

type terminalFlag bool

// fail tells an error and marks it as one that the caller can put right.
func fail(log *slog.Logger, err error) error {
	log.Error("reachpulley cannot go on", "err", err)
	return errors.Join(errUsage, err)
}

type versionCommand struct{}

// Run tells what the build recorded.
func (versionCommand) Run(s streams) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the build recorded nothing")
	}
	fmt.Fprintf(s.out, "reachpulley %s %s\n", info.Main.Version, info.GoVersion)
	for _, set := range info.Settings {
		if set.Key == "vcs.revision" || set.Key == "vcs.modified" {
			fmt.Fprintf(s.out, "%s %s\n", set.Key, set.Value)
		}
	}
	return nil
}
