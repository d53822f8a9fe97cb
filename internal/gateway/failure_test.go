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

// broken is a listener that fails for good.
type broken struct{ net.Listener }

func (broken) Accept() (net.Conn, error) { return nil, errors.New("the listener is broken") }

// A gateway whose first front can't serve ends with the reason, whatever other fronts it has: they used to keep it up for ever.
func TestABrokenListenerEndsTheGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network scenariotest.Network
		c, err := config.Parse([]byte(`{"listen":"gate:1","discovery":"disc:1","settings":`+settings+`}`), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		operator := config.DefaultOperator()
		operator.ISCSI = secondFront(config.NodesISCSI)
		operator.H2C.Enabled = true
		err = Serve(context.Background(), Options{Config: c, Operator: operator, Listener: broken{network.Listen("gate:1")},
			ISCSIListener: network.Listen("iscsi:1"), H2CListener: network.Listen("h2:1"), Dial: network.Dial, Log: slog.New(slog.DiscardHandler)})
		if err == nil || err.Error() != "the listener is broken" {
			t.Error(err)
		}
	})
}
