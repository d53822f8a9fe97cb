package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints what the build recorded.
func (versionCommand) Run(env environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the build recorded nothing")
	}
	fmt.Fprintf(env.stdout, "reachpulley %s %s\n", info.Main.Version, info.GoVersion)
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
			fmt.Fprintf(env.stdout, "%s %s\n", setting.Key, setting.Value)
		}
	}
	return nil
}
