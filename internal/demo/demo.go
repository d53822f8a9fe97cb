// Package demo runs a small deployment in one process, for trying out the gateway: storage nodes that keep objects in
// memory, their discovery, and a gateway in front of them. Nodes and discovery listen on loopback only.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"reachpulley/examples"
	"reachpulley/internal/config"
	"reachpulley/internal/gateway"
	"reachpulley/internal/rules"
	"reachpulley/scheduler"
)

const (
	shards   = 2             // each on a node of its own
	freePort = "127.0.0.1:0" // an address whose port the system chooses
)

// Run runs nodes, discovery and a gateway until stop ends. The configuration is text or, if text is nil, the example
// configuration on free ports. Run loads the rules from ruleFile; if ruleFile is empty, there are none. It writes to w
// how to try the gateway.
func Run(stop context.Context, text []byte, ruleFile string, w io.Writer, log *slog.Logger) error {
	configuration, operator, err := configure(text, ruleFile)
	if err != nil {
		return err
	}
	nodes, err := StartNodes(shards, configuration.Discovery, firstZone(configuration.Settings))
	if err != nil {
		return fmt.Errorf("cannot start nodes and discovery: %w", err)
	}
	defer nodes.Close()
	configuration.Discovery = nodes.Discovery
	options := gateway.Options{Config: configuration, Operator: operator, Log: log}
	if err := options.Listen(); err != nil {
		return err
	}
	printInstructions(w, options.Listener.Addr().String(), nodes, ruleFile != "")
	return gateway.Serve(stop, options)
}

// configure parses the configuration and loads the rules, as Run describes them.
func configure(text []byte, ruleFile string) (*config.Config, *config.Operator, error) {
	environment := map[string]string{}
	if text == nil {
		text = examples.Config()
		environment = map[string]string{"BALANCER_LISTEN": freePort, "BALANCER_DISCOVERY": freePort}
	}
	configuration, err := config.Parse(text, func(name string) string { return environment[name] })
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	operator := config.DefaultOperator()
	if ruleFile != "" {
		operator.Rules.Set, err = rules.Load(ruleFile, configuration.Settings)
		if err != nil {
			return nil, nil, err
		}
	}
	return configuration, operator, nil
}

// firstZone returns the zone in which discovery lists the nodes, or "" if the settings name no zone.
func firstZone(settings scheduler.Settings) string {
	if len(settings.Zones) == 0 {
		return ""
	}
	return settings.Zones[0]
}

// printInstructions writes the addresses and a command for each thing to try. The commands work as they are printed.
func printInstructions(w io.Writer, gatewayAddress string, nodes *Nodes, withRules bool) {
	const (
		curl    = "curl -sS -w '\\n' "
		headers = "-H 'X-Qos-Policy: standard' -H 'X-Deadline: 1000m' -H 'X-Placement: units=1,shard=0,hosts=1' "
		body    = "-X PUT -d 'crew 7: 8 hours' "
	)
	gatewayURL := "http://" + gatewayAddress
	fmt.Fprintf(w, "gateway   %s\ndiscovery http://%s\n", gatewayURL, nodes.Discovery)
	for i, address := range nodes.Addresses {
		fmt.Fprintf(w, "node %d    http://%s\n", i, address)
	}
	object := gatewayURL + "/api/00000003b4d60021/7f3a9c21e0b4d655"
	fmt.Fprintf(w, "\nwrite: %s%s-H 'X-Request-Id: 1' -H 'X-Class: entry-write' -H 'Idempotency-Key: 1' %s%s\n",
		curl, body, headers, object)
	fmt.Fprintf(w, "read:  %s-H 'X-Request-Id: 2' -H 'X-Class: sheet-read' %s%s\n", curl, headers, object)
	if withRules {
		sheet := gatewayURL + "/api/bridge/sheets/7"
		fmt.Fprintf(w, "old write: %s%s-H 'X-Project: bridge' -H 'Idempotency-Key: 2' %s\n", curl, body, sheet)
		fmt.Fprintf(w, "old read:  %s-H 'X-Project: bridge' %s\n", curl, sheet)
	}
	fmt.Fprintf(w, "drain: %s-X POST http://%s/drain\n\nCtrl-C ends all of it.\n", curl, nodes.Addresses[0])
}
