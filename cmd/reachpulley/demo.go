package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"reachpulley/internal/config"
	"reachpulley/internal/demo"
	"reachpulley/internal/logging"
)

type demoCommand struct {
	Config string `type:"existingfile" help:"${demo_config_help}"`
	Rules  string `type:"existingfile" help:"A rule file, with which the gateway also serves old clients."`
}

// Run runs the demo until SIGTERM or an interrupt.
func (d demoCommand) Run(env environment) error {
	log := logging.New(env.stderr, config.Log{Format: config.LogText}, env.isTerminal)
	var configText []byte // nil selects the built-in configuration
	if d.Config != "" {
		var err error
		if configText, err = os.ReadFile(d.Config); err != nil {
			return logUsageError(log, err)
		}
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := demo.Run(stop, configText, d.Rules, env.stdout, log); err != nil {
		return logUsageError(log, err)
	}
	return nil
}
