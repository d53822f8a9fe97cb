// Package examples holds the files that show how to configure the gateway. Tests load them, and the demo runs by them.
package examples

import "embed"

// Files are the examples by name.
//
//go:embed config.json
var Files embed.FS

// Config is the example configuration of a gateway.
func Config() []byte {
	text, err := Files.ReadFile("config.json")
	if err != nil {
		panic(err) // it is part of the program
	}
	return text
}
