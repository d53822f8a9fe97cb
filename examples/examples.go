// Package examples holds files that show how to configure the gateway. Tests load them, and the demo runs a gateway
// with the example configuration.
package examples

import (
	"bytes"
	_ "embed"
)

//go:embed config.json
var config []byte

// Config returns the example configuration of a gateway.
func Config() []byte { return bytes.Clone(config) }
