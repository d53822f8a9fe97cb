package main

import (
	"fmt"

	"reachpulley/internal/config"
)

type checkCommand struct{}

// Run checks the configuration that serveCommand would read, and prints how many classes, plans, rules and operations
// it has, and whether iSCSI and zone failover are on.
func (checkCommand) Run(env environment) error {
	platform, operator, err := loadConfiguration(env.getenv, config.Load)
	if err != nil {
		return env.reportUsageError(err)
	}
	rules := 0
	if operator.Rules.Set != nil {
		rules = operator.Rules.Set.Len()
	}
	operations := 0
	if operator.Contracts.Catalog != nil {
		operations = len(operator.Contracts.Catalog.Entries())
	}
	fmt.Fprintf(env.stdout, "good: %d classes, %d plans, iscsi %s, %d rules, %d operations, zone failover %s\n",
		len(platform.Settings.Classes), len(platform.Settings.Plans), onOff(operator.ISCSI != nil),
		rules, operations, onOff(operator.ZoneFailover.Enabled))
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
