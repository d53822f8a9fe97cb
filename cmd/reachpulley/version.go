package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the program, that of Go, and the revision of the source, as the build recorded them.
func (versionCommand) Run(env environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("version: the binary holds no build information")
	}
	fmt.Fprintf(env.stdout, "reachpulley %s %s\n", info.Main.Version, info.GoVersion)
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
			fmt.Fprintf(env.stdout, "%s %s\n", setting.Key, setting.Value)
		}
	}
	return nil
}
