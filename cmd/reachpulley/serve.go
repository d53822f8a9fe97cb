package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"reachpulley/internal/config"
	"reachpulley/internal/demo"
	"reachpulley/internal/gateway"
	"reachpulley/internal/logging"
)

// load reads all that is configured.
func load(getenv func(string) string, read func(func(string) string) (*config.Config, error)) (*config.Config, *config.Operator, error) {
	c, err := read(getenv)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	operator, err := config.LoadOperator(getenv, c.Settings)
	if err != nil {
		return nil, nil, err
	}
	return c, operator, nil
}

type serveCommand struct{}

// Run serves until SIGTERM or an interrupt.
func (serveCommand) Run(s streams, terminal terminalFlag) error {
	// Unheard, SIGHUP would end the program. One that waits while another is served stands for all that follow.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	captures := make(chan os.Signal, 1)
	signal.Notify(captures, syscall.SIGUSR2)
	defer signal.Stop(captures)
	log := slog.New(slog.NewJSONHandler(s.err, nil)) // until it is known what is wanted
	c, operator, err := load(s.getenv, config.Load)
	if err != nil {
		return fail(log, err)
	}
	log = logging.New(s.err, operator.Log, bool(terminal))
	gateway.Bound(c.Limits)
	g := gateway.Options{Config: c, Operator: operator, Log: log, Reloads: reloads, Captures: captures,
		Reload: func() (*config.Config, *config.Operator, error) { return load(s.getenv, config.Reload) }}
	err = g.Listen()
	if err == nil {
		stop, forget := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer forget()
		err = gateway.Serve(stop, g)
	}
	if err != nil {
		log.Error("reachpulley cannot go on", "err", err)
	}
	return err
}

type checkCommand struct{}

// Run checks what Serve would read.
func (checkCommand) Run(s streams) error {
	c, operator, err := load(s.getenv, config.Load)
	if err != nil {
		return show(s, err)
	}
	ruled := 0
	if operator.Rules.Set != nil {
		ruled = operator.Rules.Set.Len()
	}
	operations := 0
	if operator.Contracts.Catalog != nil {
		operations = len(operator.Contracts.Catalog.Entries())
	}
	fmt.Fprintf(s.out, "good: %d classes, %d plans, iscsi %s, %d rules, %d operations, rooms %s\n", len(c.Settings.Classes), len(c.Settings.Plans),
		onOff(operator.ISCSI != nil), ruled, operations, onOff(operator.ZoneFailover.Enabled))
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

type demoCommand struct {
	Config string `type:"existingfile" help:"A configuration in place of the built-in one; its discovery is started, too."`
	Rules  string `type:"existingfile" help:"A rule file, by which old clients are served, too."`
}

// Run runs the demo until SIGTERM or an interrupt.
func (d demoCommand) Run(s streams, terminal terminalFlag) error {
	log := logging.New(s.err, config.Log{Format: config.LogText}, bool(terminal))
	var text []byte
	if d.Config != "" {
		var err error
		if text, err = os.ReadFile(d.Config); err != nil {
			return fail(log, err)
		}
	}
	stop, forget := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer forget()
	if err := demo.Run(stop, text, d.Rules, s.out, log); err != nil {
		return fail(log, err)
	}
	return nil
}
