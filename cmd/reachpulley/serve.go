package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"reachpulley/internal/config"
	"reachpulley/internal/gateway"
	"reachpulley/internal/logging"
)

type serveCommand struct{}

// Run runs the gateway until SIGTERM or an interrupt.
func (serveCommand) Run(env environment) error {
	// The signals are caught before anything else, because a SIGHUP that is not caught ends the program. Each channel
	// holds one signal: while one is being handled, a waiting signal stands for all that follow it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	captures := make(chan os.Signal, 1)
	signal.Notify(captures, syscall.SIGUSR2)
	defer signal.Stop(captures)

	platform, operator, err := loadConfiguration(env.getenv, config.Load)
	if err != nil {
		return logUsageError(slog.New(slog.NewJSONHandler(env.stderr, nil)), err)
	}
	log := logging.New(env.stderr, operator.Log, env.isTerminal)
	gateway.ApplyRuntimeLimits(platform.Limits)
	err = serve(gateway.Options{
		Config:   platform,
		Operator: operator,
		Log:      log,
		Reloads:  reloads,
		Captures: captures,

		SharedDirectory: env.getenv("TMPDIR"),
		Reload: func() (*config.Config, *config.Operator, error) {
			return loadConfiguration(env.getenv, config.Reload)
		},
	})
	if err != nil {
		logFatalError(log, err)
	}
	return err
}

func serve(options gateway.Options) error {
	if err := options.Listen(); err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return gateway.Serve(stop, options)
}

// loadConfiguration reads the platform's configuration with load, and then the operator's file.
func loadConfiguration(
	getenv func(string) string, load func(func(string) string) (*config.Config, error),
) (*config.Config, *config.Operator, error) {
	platform, err := load(getenv)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	operator, err := config.LoadOperator(getenv, platform.Settings)
	if err != nil {
		return nil, nil, err
	}
	return platform, operator, nil
}
