package config

import (
	"fmt"
	"strings"
	"testing"

	"reachpulley/scheduler"
)

const zoneFailoverTable = "[rooms]\nenabled = true\nspill = 20.0\nburst = 16.0\n"

func TestZoneFailoverTiers(t *testing.T) {
	for text, want := range map[string]string{
		"":                                      "[0 1 1] []",
		"prefer = [['room-c'], ['room-a']]\n":   "[1 2 0] []",
		"prefer = [['room-b', 'room-c']]\n":     "[1 0 0] []",
		"[[rooms.work]]\nforbid = ['room-b']\n": "[0 1 1] [{-1 -1 [0 -1 1]}]",
		"[[rooms.work]]\nclass = 'write'\nplan = 'gold'\nprefer = [['room-b']]\n": "[0 1 1] [{1 0 [1 0 1]}]",
	} {
		t.Run(text, func(t *testing.T) {
			o, err := loadOperator(t, zoneFailoverTable+text)
			if err != nil {
				t.Fatal(err)
			}
			settings := o.Settings(scheduler.Settings{}).ZoneFailover
			if got := fmt.Sprint(settings.Tiers, " ", settings.Work); got != want {
				t.Errorf("tiers and work %s, want %s", got, want)
			}
			if !settings.Enabled() || settings.Spillover != 20 {
				t.Errorf("settings %+v, want zone failover on, with a spillover of 20", settings)
			}
		})
	}
	o, err := loadOperator(t, "[rooms]\nspill = 5.0\n")
	if err != nil || len(o.Settings(scheduler.Settings{}).ZoneFailover.Tiers) > 0 {
		t.Errorf("table that is not enabled: error %v, want none, and no tiers in the settings", err)
	}
}

func TestZoneFailoverFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[[rooms.work]]\nclass = 'x'\n":    `rooms.work[0].class: the settings have no class "x"`,
		"[[rooms.work]]\nplan = 'x'\n":     `rooms.work[0].plan: the settings have no plan "x"`,
		"[[rooms.work]]\nforbid = ['x']\n": `rooms.work[0].forbid: the settings have no zone "x"`,

		"[[rooms.work]]\nforbid = ['room-a', 'room-b', 'room-c']\n": "rooms.work[0].forbid: no zone is allowed",

		"gateways = 2\n": "rooms.gateways: 2 is not from 0 to 1",
		"share = 11.0\n": "rooms.share: 11 is not from 0 to 10",
		"prefer = [" + strings.Repeat("[], ", 17) + "]\n": "rooms.prefer: 17 tiers are more than",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := loadOperator(t, zoneFailoverTable+text)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: error %v, want one that contains %q", text, err, want)
			}
		})
	}
}
