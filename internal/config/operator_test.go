package config

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/configfile"
	"reachpulley/scheduler"
)

// loadOperator loads a text as the operator's file. Faults name the file as "f", in place of its temporary path.
func loadOperator(t *testing.T, text string) (*Operator, error) {
	t.Helper()
	c, err := Parse([]byte(platformJSON), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	path := writeFile(t, "operator.toml", text)
	o, err := LoadOperator(environment(map[string]string{envOperator: path}), c.Settings)
	var faults configfile.Faults
	if errors.As(err, &faults) {
		for i := range faults {
			faults[i].File = "f"
		}
	}
	return o, err
}

// edit replaces the first occurrence of old in a text by new.
type edit struct{ old, new string }

// operatorFaults are edits of the shipped file with all tables turned on, and the fault that each edit causes. An empty
// fault means that the file is valid.
var operatorFaults = []struct {
	edits []edit
	want  string
}{
	{nil, ""},
	{[]edit{{`listen = "127.0.0.1:3260"`, ""}}, "iscsi.listen: is missing"},
	{[]edit{{"enabled", "on = 1\nenabled"}}, "iscsi.on: unknown key"},
	{[]edit{{"sessions = 32", "sessions = 0"}}, "iscsi.sessions: 0 is not from 1 to 256"},
	{[]edit{{"depth = 64", "depth = 5000"}}, "iscsi.depth: 5000 is not from 1 to 1024"},
	{[]edit{{`nodes = "http"`, `nodes = "ftp"`}}, `iscsi.nodes: "ftp" is neither`},
	{[]edit{{`nodes = "http"`, `nodes = "iscsi"`}}, "iscsi.node_target: is missing"},
	{[]edit{{`description = "api/openapi.yaml"`, ""}}, "iscsi.description: is missing"},
	{[]edit{{"lun = 0", "lun = 20000"}}, "iscsi.unit[0].lun: 20000 is not"},
	{[]edit{{`plan = "gold"`, `plan = "tin"`}}, `iscsi.unit[0].plan: the settings have no plan "tin"`},
	{[]edit{{`read_class = "read"`, `read_class = "write"`}}, `iscsi.unit[0].read_class: class "write" writes`},
	{[]edit{{`write_class = "write"`, `write_class = "read"`}},
		`iscsi.unit[0].write_class: class "read" does not write`},
	{[]edit{{"block_size = 512", "block_size = 500"}}, "iscsi.unit[0].block_size: 500 is not"},
	{[]edit{{"blocks = 2097152", "blocks = 0"}}, "iscsi.unit[0].blocks: 0 is below 1"},
	{[]edit{{"shard = 0", "shard = -1"}}, "iscsi.unit[0].shard: -1 is below 0"},
	{[]edit{{"least_streams = 4 ", "least_streams = 400 "}}, "h2c.least_streams: 400 is more than streams (100)"},
	{[]edit{{"connection_kb = 1024", "connection_kb = 10240"}},
		"h2c.connection_kb: 10240 is more than memory_kb (8192)"},
	{[]edit{{`stall = "10s"`, `stall = 10`}}, "h2c.stall: want a duration"},
	{[]edit{{"at_core = 256", "at_core = 0"}}, "h2c.at_core: 0 is not from 1 to"},
	{[]edit{{`listen = "127.0.0.1:8080"`, `listen = "here"`}}, "h2c.listen: address here: missing port"},
	{[]edit{{"memory_kb = 0 ", "memory_kb = 2000000 "}}, "capture.memory_kb: 2000000 is not from 0 to 1048576"},
	{[]edit{{"memory_kb = 0 ", "memory_kb = 2000 "}}, "capture.directory: is missing"},
	{[]edit{{"disk_mb = 0 ", "disk_mb = 100 "}}, "capture.memory_kb: 0 is less than 1024"},
	{[]edit{{"disk_mb = 0 ", "disk_mb = 15 "}}, "capture.segment_mb: 8 is not from 1 to half of disk_mb"},
	{[]edit{{`disk_mb = 0 `, "disk_mb = -1 "}}, "capture.disk_mb: -1 is not"},
	{[]edit{{`format = "json"`, `format = "xml"`}}, `log.format: "xml" is neither`},
	{[]edit{{`level = "info"`, `level = "loud"`}}, `log.level: "loud" is not`},
	{[]edit{{`repeat = "0s"`, `repeat = 5`}}, `log.repeat: want a duration`},
	{[]edit{{`undescribed = "careful"`, `undescribed = "shrug"`}},
		`contracts.undescribed: "shrug" is neither careful nor refuse`},
	{[]edit{{`distrust = "avoid"`, `distrust = "shrug"`}}, `contracts.distrust: "shrug" is not log, care or avoid`},
	{[]edit{{"sample = 0.01", "sample = 2.0"}}, "contracts.sample: 2 is not from 0 to 1"},
	{[]edit{{"open = 16", "open = -1"}}, "contracts.open: -1 is not"},
	{[]edit{{`plan = ""   `, `plan = "tin"   `}}, `contracts.plan: the settings have no plan "tin"`},
	{[]edit{{"files = []", `files = ["none.yaml"]`}}, "contracts.files: stat none.yaml"},
	{[]edit{{"share = 0.0", "share = 4.0"}}, "retry.share: 4 is not from 0 to 3"},
	{[]edit{{"cells = 1024", "cells = 0"}}, ""},
	{[]edit{{"share = 0.0", "share = 0.1"}, {"cells = 1024", "cells = 1"}}, "retry.cells: 1 is not from 16"},
	{[]edit{{"spill = 0.0", "spill = -1.0"}}, "rooms.spill: -1 is not from 0"},
	{[]edit{{"spill = 0.0", "spill = 5.0"}, {`list_late = "10s"`, `list_late = "20m"`}},
		"rooms.list_late: 20m0s is not"},
	{[]edit{{"prefer = []", "prefer = [['room-a'], ['room-x']]"}}, `rooms.prefer: the settings have no zone "room-x"`},
	{[]edit{{"prefer = []", "prefer = [['room-a'], ['room-a']]"}}, `rooms.prefer: zone "room-a" is listed twice`},
}

func TestShippedOperatorFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/reachpulley.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := loadOperator(t, string(text))
	if err != nil || o.ISCSI != nil || o.Log.Format != LogJSON || o.Log.MinLevel != slog.LevelInfo {
		t.Errorf("as shipped: %+v, error %v; want no error, no iSCSI, log format %q and level %v",
			o, err, LogJSON, slog.LevelInfo)
	}
	turnedOn := strings.NewReplacer(
		"enabled = false", "enabled = true",
		"sheet-read", "read",
		"entry-write", "write",
		`"standard"`, `"gold"`,
	).Replace(string(text))
	for _, c := range operatorFaults {
		name := c.want
		if name == "" {
			name = fmt.Sprint("valid", c.edits)
		}
		t.Run(name, func(t *testing.T) {
			edited := turnedOn
			for _, e := range c.edits {
				if !strings.Contains(edited, e.old) {
					t.Fatalf("%q is not in the file", e.old)
				}
				edited = strings.Replace(edited, e.old, e.new, 1)
			}
			o, err := loadOperator(t, edited)
			switch {
			case c.want == "" && (err != nil || len(o.ISCSI.Units) != 1):
				t.Errorf("with all tables turned on: %+v, error %v; want no error and one iSCSI unit", o, err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), ": "+c.want)):
				t.Errorf("error %v, want one that contains %q", err, ": "+c.want)
			}
		})
	}
}

// The example configuration must load in the working directory that the comment in its file names, and the scheduler
// must accept the settings.
func TestExampleOperatorFile(t *testing.T) {
	t.Chdir("../..")
	text, err := os.ReadFile("examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text, emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperator(environment(map[string]string{envOperator: "examples/operator.toml"}), c.Settings)
	if err != nil {
		t.Fatal(err)
	}
	settings := o.Settings(c.Settings)
	if len(o.Contracts.Catalog.Entries()) != 3 || settings.RetryBudget.Share != 0.2 ||
		!settings.ZoneFailover.Enabled() || len(settings.ZoneFailover.Work) != 1 {
		t.Errorf("%d catalog entries, want 3; settings %+v, want retry share 0.2, zone failover and one kind of work",
			len(o.Contracts.Catalog.Entries()), settings)
	}
	if _, err := scheduler.New(settings, 1, nil); err != nil {
		t.Errorf("scheduler rejects the example's settings: %v", err)
	}
}

func TestOperatorFileReportsAllFaultsAtOnce(t *testing.T) {
	_, err := loadOperator(t, `[log]
format = 'xml'
levl = 'info'
[iscsi]
enabled = true
listen = '127.0.0.1:1'
target = 'iqn.x'
description = 'd'
[[iscsi.unit]]
lun = 1
volume = 'short'
plan = 'gold'
read_class = 'read'
write_class = 'write'
blocks = 0`)
	want := `f:2:1: log.format: "xml" is neither json nor text
f:3:1: log.levl: unknown key; did you mean "level"?
f:11:1: iscsi.unit[0].volume: "short" is not 16 hex digits
f:15:1: iscsi.unit[0].blocks: 0 is below 1`
	if diff := cmp.Diff(want, fmt.Sprint(err)); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

func TestNamedOperatorFileMustExist(t *testing.T) {
	if o, err := LoadOperator(emptyEnvironment, scheduler.Settings{}); err != nil || o.ISCSI != nil {
		t.Errorf("without a file: %+v, error %v; want the defaults and no error", o, err)
	}
	for variable, value := range map[string]string{envOperator: "/nowhere.toml", envLog: "loud"} {
		t.Run(variable, func(t *testing.T) {
			_, err := LoadOperator(environment(map[string]string{variable: value}), scheduler.Settings{})
			if err == nil || !strings.HasPrefix(err.Error(), variable+": ") {
				t.Errorf("error %v, want one that begins with %q", err, variable+": ")
			}
			var located *Error
			if !errors.As(err, &located) || located.Source != variable {
				t.Errorf("error is %#v, want an Error with the source %q", located, variable)
			}
		})
	}
}
