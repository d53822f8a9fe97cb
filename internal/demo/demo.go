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
)

const (
	shards   = 2
	freePort = "127.0.0.1:0"
)

// Run starts nodes, discovery and a gateway by the given configuration, or by the example on free ports where it is nil,
// with the rules of a file where one is named, writes to w how to try them, and ends when stop does.
func Run(stop context.Context, text []byte, ruleFile string, w io.Writer, log *slog.Logger) error {
	environment := map[string]string{}
	if text == nil {
		text = examples.Config()
		environment = map[string]string{"BALANCER_LISTEN": freePort, "BALANCER_DISCOVERY": freePort}
	}
	c, err := config.Parse(text, func(name string) string { return environment[name] })
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	operator := config.DefaultOperator()
	if ruleFile != "" {
		if operator.Rules.Set, err = rules.Load(ruleFile, c.Settings); err != nil {
			return err
		}
	}
	zone := ""
	if len(c.Settings.Zones) > 0 {
		zone = c.Settings.Zones[0]
	}
	nodes, err := StartNodes(shards, c.Discovery, zone)
	if err != nil {
		return fmt.Errorf("nodes: %w", err)
	}
	defer nodes.Close()
	c.Discovery = nodes.Discovery
	g := gateway.Options{Config: c, Operator: operator, Log: log}
	if err := g.Listen(); err != nil {
		return err
	}
	at := g.Listener.Addr().String()
	const curl = "curl -sS -w '\\n' "
	const facts = "-H 'X-Qos-Policy: standard' -H 'X-Deadline: 1000m' -H 'X-Placement: units=1,shard=0,hosts=1' "
	path := "http://" + at + "/api/00000003b4d60021/7f3a9c21e0b4d655"
	fmt.Fprintf(w, "gateway   http://%s\ndiscovery http://%s\n", at, nodes.Discovery)
	for i, dial := range nodes.Dials {
		fmt.Fprintf(w, "node %d    http://%s\n", i, dial)
	}
	fmt.Fprintf(w, "\nwrite: %s-X PUT -d 'crew 7: 8 hours' -H 'X-Request-Id: 1' -H 'X-Class: entry-write' -H 'Idempotency-Key: 1' %s%s\n",
		curl, facts, path)
	fmt.Fprintf(w, "read:  %s-H 'X-Request-Id: 2' -H 'X-Class: sheet-read' %s%s\n", curl, facts, path)
	if ruleFile != "" {
		sheet := "http://" + at + "/api/bridge/sheets/7"
		fmt.Fprintf(w, "old write: %s-X PUT -d 'crew 7: 8 hours' -H 'X-Project: bridge' -H 'Idempotency-Key: 2' %s\n", curl, sheet)
		fmt.Fprintf(w, "old read:  %s-H 'X-Project: bridge' %s\n", curl, sheet)
	}
	fmt.Fprintf(w, "drain: %s-X POST http://%s/drain\n\nCtrl-C ends all of it.\n", curl, nodes.Dials[0])
	return gateway.Serve(stop, g)
}
