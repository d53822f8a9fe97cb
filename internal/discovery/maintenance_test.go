package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/scheduler"
)

// newMaintainedClient returns a client that watches nothing, and the reports that it has made.
func newMaintainedClient(t *testing.T) (client *Client, reported *[]string) {
	reported = &[]string{}
	client = New(t.Context(), Options{
		Maintenance: true,
		ClockTime:   func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond },
		Notify: func(m scheduler.Membership) {
			text := describe(m)
			for _, node := range m.Nodes {
				text += fmt.Sprint(" ", node.StartedAt)
			}
			*reported = append(*reported, text)
		},
		Log: slog.New(slog.DiscardHandler),
	})
	return client, reported
}

func applyText(t *testing.T, client *Client, kind scheduler.MembershipKind, text string) {
	t.Helper()
	list, err := ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	client.apply(context.Background(), list, kind, 0)
}

// A node that comes back from maintenance counts as just started, as it was restarted meanwhile.
func TestNodeStartsColdAfterMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, reported := newMaintainedClient(t)
		applyText(t, client, scheduler.FullList, upList)
		for _, change := range []func(string) error{client.TakeOffline, client.TakeOffline, client.TakeOnline,
			client.TakeOnline} {
			if err := change("n"); err != nil {
				t.Fatal(err)
			}
		}
		now := time.Duration(time.Now().UnixMilli()) * time.Millisecond
		want := []string{"1 n:0 0s", "2 n:1 0s", "2 n:0 " + now.String()}
		if diff := cmp.Diff(want, *reported); diff != "" {
			t.Errorf("reports (-want +got):\n%s", diff)
		}
	})
}

// Node IDs are never reused, so a record of all nodes that were ever listed would grow without bound. Nodes that are
// listed or offline are never forgotten.
func TestMaintenanceForgetsOldNodes(t *testing.T) {
	client, _ := newMaintainedClient(t)
	applyText(t, client, scheduler.FullList, upList)
	if err := client.TakeOffline("n"); err != nil {
		t.Fatal(err)
	}
	for i := range 2 * maxKnownNodes {
		client.maintenance.update(&List{Whole: true, Hosts: []host{{ID: fmt.Sprint(i), Health: "up"}}})
	}
	if n := len(client.maintenance.known); n > maxKnownNodes+1 {
		t.Errorf("%d nodes are known, want %d at most", n, maxKnownNodes+1)
	}
	if err := client.TakeOnline("n"); err != nil {
		t.Errorf("the node that is offline: %v", err)
	}
	if err := client.TakeOffline("never"); !errors.Is(err, ErrUnknownNode) {
		t.Errorf("a node that was never listed: error %v, want %v", err, ErrUnknownNode)
	}
}
