package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"

	"reachpulley/internal/config"
	"reachpulley/internal/scenariotest"
)

// brokenListener is a listener that fails to accept any connection.
type brokenListener struct{ net.Listener }

func (brokenListener) Accept() (net.Conn, error) { return nil, errors.New("the listener is broken") }

// A gateway whose HTTP server fails must end with that error. Its other frontends must not keep it running.
func TestBrokenListenerEndsGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network scenariotest.Network
		operator := config.DefaultOperator()
		operator.ISCSI = iscsiFrontend(config.NodesISCSI)
		operator.H2C.Enabled = true
		err := Serve(context.Background(), Options{
			Config:        parseConfig(t, `"listen":"gate:1","discovery":"disc:1"`),
			Operator:      operator,
			Listener:      brokenListener{network.Listen("gate:1")},
			ISCSIListener: network.Listen("iscsi:1"),
			H2CListener:   network.Listen("h2:1"),
			Dial:          network.Dial,
			Log:           slog.New(slog.DiscardHandler),
		})
		const want = "the listener is broken"
		if err == nil || err.Error() != want {
			t.Errorf("Serve returned error %v, want %q", err, want)
		}
	})
}
