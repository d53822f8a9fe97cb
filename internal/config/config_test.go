package config

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/configfile"
	"reachpulley/scheduler"
)

const whole = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","limits":{"sockets":100},` +
	`"known":{"seq":4,"whole":true,"hosts":[{"host":"h","dial":"127.0.0.1:3","health":"up"}]},` +
	`"settings":{"siblings":1,"membershipMode":"ask","dcs":["room-a","room-b","room-c"],"classes":[` +
	`{"name":"read","aimMs":300,"deadlineMs":500,"idempotency":"idempotent"},` +
	`{"name":"write","aimMs":300,"deadlineMs":500,"idempotency":"deduplicated"}],` +
	`"familyInfo":{"changesData":[false,true]},"policies":[{"name":"gold"}]}}`

func none(string) string { return "" }

func TestDefaultsAndEnvironment(t *testing.T) {
	c, err := Parse([]byte(whole), func(name string) string {
		return map[string]string{envName: "other"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	want := Limits{Cores: defaultCores, MemoryMB: defaultMemory, Sockets: 100}
	if diff := cmp.Diff(want, c.Limits); diff != "" || c.Name != "other" || c.Seed != 255 || c.CachedList.Seq != 4 {
		t.Errorf("%+v: %s", c, diff)
	}
}

// A fault at a start or a reload names the file and the key.
func TestFaultsNameFileAndKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(whole, "127.0.0.1:2", "nowhere", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, load := range []func(func(string) string) (*Config, error){Load, Reload} {
		_, err := load(func(name string) string { return map[string]string{envConfig: path}[name] })
		if err == nil || !strings.Contains(err.Error(), path+": discovery: ") {
			t.Errorf("%v", err)
		}
	}
}

// On sockets a list has to be watched, whether it is pushed or not.
func TestPushedListsAreWatched(t *testing.T) {
	for mode, agent := range map[string]bool{"ask": false, "push": true} {
		c, err := Parse([]byte(strings.Replace(whole, `"ask"`, `"`+mode+`"`, 1)), none)
		if err != nil {
			t.Fatal(err)
		}
		if c.Settings.PollMembership == agent || c.Settings.LocalAgent != agent {
			t.Errorf("%s: must ask %v, agent %v", mode, c.Settings.PollMembership, c.Settings.LocalAgent)
		}
	}
}

// The environment of a running gateway is that of its start; the file is what was changed.
func TestReloadPutsTheFileFirst(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	env := func(name string) string {
		return map[string]string{envConfig: path, envDiscovery: "127.0.0.1:9", envName: "other"}[name]
	}
	for want, load := range map[string]func(func(string) string) (*Config, error){
		"127.0.0.1:9 other": Load, "127.0.0.1:2 n": Reload} {
		c, err := load(env)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, c.Discovery+" "+c.Name); diff != "" {
			t.Error(diff)
		}
	}
}

func TestFaultsNameTheirKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"listen":"127.0.0.1:1"`, `"listen":""`, "listen: is missing"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":"here"`, "discovery: address here: missing port in address"},
		{`"seed":"ff"`, `"seed":"x"`, `seed: "x" is not`},
		{`"seed":"ff"`, `"seed":5`, "seed: want string, got number"},
		{`"sockets":100`, `"sockets":10`, "limits.sockets: 10 is under 64"},
		{`"sockets":100`, `"memory_mb":1`, "limits.memory_mb: 1 is under 32"},
		{`"sockets":100`, `"cores":0`, "limits.cores: 0 is not above 0"},
		{`"sockets":100`, `"cores":"one"`, "limits.cores: want float64, got string"},
		{`"health":"up"`, `"health":"well"`, `known: hosts[0].health: unknown state "well"`},
		{`"dial":"127.0.0.1:3"`, `"dial":"x"`, "known: hosts[0].dial: "},
		{`"idempotent"`, `"never"`, `settings: conf: class "read": unknown idempotency "never"`},
		{`"aimMs":300`, `"aimMs":"x"`, "settings: classes.aimMs: want float64"},
		{`"settings"`, `"setting"`, "settings: is missing"},
		{`"siblings":1`, `"ceilings":{"connIdleMs":-1}`, "settings.ceilings.connIdleMs: "},
		{`"siblings":1`, `"ceilings":{"dialTimeoutMs":-1}`, "settings.ceilings.dialTimeoutMs: "},
		{`{"name":"n"`, `{`, "invalid character"},
	} {
		_, err := Parse([]byte(strings.Replace(whole, c.old, c.new, 1)), none)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
	if _, err := Load(none); err == nil || err.Error() != "BALANCER_CONFIG: is not set" {
		t.Error(err)
	}
}

// operatorFaults reads a text as the operator's file and gives what is wrong with it.
func operatorFaults(t *testing.T, text string) (*Operator, error) {
	t.Helper()
	c, err := Parse([]byte(whole), none)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperator(func(name string) string { return map[string]string{envOperator: path}[name] }, c.Settings)
	var faults configfile.Faults
	if errors.As(err, &faults) {
		for i := range faults {
			faults[i].File = "f"
		}
	}
	return o, err
}

func TestOperatorFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/reachpulley.toml")
	if err != nil {
		t.Fatal(err)
	}
	if o, err := operatorFaults(t, string(text)); err != nil || o.ISCSI != nil || o.Log.Format != LogJSON || o.Log.MinLevel != slog.LevelInfo {
		t.Errorf("as shipped: %+v, %v", o, err)
	}
	shipped := strings.NewReplacer("enabled = false", "enabled = true", "sheet-read", "read", "entry-write", "write",
		`"standard"`, `"gold"`).Replace(string(text))
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`listen = "127.0.0.1:3260"`, "", "iscsi.listen: is missing"},
		{"enabled", "on = 1\nenabled", "iscsi.on: unknown key"},
		{"sessions = 32", "sessions = 0", "iscsi.sessions: 0 is not from 1 to 256"},
		{"depth = 64", "depth = 5000", "iscsi.depth: 5000 is not from 1 to 1024"},
		{`nodes = "http"`, `nodes = "ftp"`, `iscsi.nodes: "ftp" is neither`},
		{`nodes = "http"`, `nodes = "iscsi"`, "iscsi.node_target: is missing"},
		{`description = "api/openapi.yaml"`, "", "iscsi.description: is missing"},
		{"lun = 0", "lun = 20000", "iscsi.unit[0].lun: 20000 is not"},
		{`plan = "gold"`, `plan = "tin"`, `iscsi.unit[0].plan: the settings have no "tin"`},
		{`read_class = "read"`, `read_class = "write"`, `iscsi.unit[0].read_class: "write" writes`},
		{`write_class = "write"`, `write_class = "read"`, `iscsi.unit[0].write_class: "read" does not write`},
		{"block_size = 512", "block_size = 500", "iscsi.unit[0].block_size: 500 is not"},
		{"blocks = 2097152", "blocks = 0", "iscsi.unit[0].blocks: 0 is below 1"},
		{"shard = 0", "shard = -1", "iscsi.unit[0].shard: -1 is below 0"},
		{"least_streams = 4 ", "least_streams = 400 ", "h2c.least_streams: 400 are more than streams, 100"},
		{"connection_kb = 1024", "connection_kb = 10240", "h2c.connection_kb: 10240 is more than memory_kb, 8192"},
		{`stall = "10s"`, `stall = 10`, "h2c.stall: want a duration"},
		{"at_core = 256", "at_core = 0", "h2c.at_core: 0 is not from 1 to"},
		{`listen = "127.0.0.1:8080"`, `listen = "here"`, "h2c.listen: address here: missing port"},
		{"memory_kb = 0 ", "memory_kb = 2000000 ", "capture.memory_kb: 2000000 is not from 0 to 1048576"},
		{"memory_kb = 0 ", "memory_kb = 2000 ", "capture.directory: is missing"},
		{"disk_mb = 0 ", "disk_mb = 100 ", "capture.memory_kb: 0 is less than 1024"},
		{"disk_mb = 0 ", "disk_mb = 15 ", "capture.segment_mb: 8 is not from 1 to a half of disk_mb"},
		{`disk_mb = 0 `, "disk_mb = -1 ", "capture.disk_mb: -1 is not"},
		{`format = "json"`, `format = "xml"`, `log.format: "xml" is neither`},
		{`level = "info"`, `level = "loud"`, `log.level: "loud" is not`},
		{`repeat = "0s"`, `repeat = 5`, `log.repeat: want a duration`},
		{`undescribed = "careful"`, `undescribed = "shrug"`, `contracts.undescribed: "shrug" is neither careful nor refuse`},
		{`distrust = "avoid"`, `distrust = "shrug"`, `contracts.distrust: "shrug" is not log, care or avoid`},
		{"sample = 0.01", "sample = 2.0", "contracts.sample: 2 is not from 0 to 1"},
		{"open = 16", "open = -1", "contracts.open: -1 is not"},
		{`plan = ""   `, `plan = "tin"   `, `contracts.plan: the settings have no "tin"`},
		{"files = []", `files = ["none.yaml"]`, "contracts.files: stat none.yaml"},
		{"share = 0.0               # further", "share = 4.0 #", "retry.share: is not from 0 to 3"},
		{"cells = 1024", "cells = 0", ""},
		{"share = 0.0               # further", "share = 0.1\ncells = 1\n#", "retry.cells: is not from 16"},
		{"spill = 0.0", "spill = -1.0", "rooms.spill: -1 is not from 0"},
		{"spill = 0.0", "spill = 5.0\nlist_late = '20m' #", "rooms.list_late: 20m0s is not"},
		{"prefer = []", "prefer = [['room-a'], ['room-x']]", `rooms.prefer: the settings have no room "room-x"`},
		{"prefer = []", "prefer = [['room-a'], ['room-a']]", `rooms.prefer: room "room-a" stands twice`},
	} {
		if strings.HasPrefix(c.new, "share = 0.1") { // the key stands once
			shipped = strings.Replace(shipped, "cells = 1024", "", 1)
		}
		if strings.Contains(c.new, "list_late") {
			shipped = strings.Replace(shipped, `list_late = "10s"`, "", 1)
		}
		o, err := operatorFaults(t, strings.Replace(shipped, c.old, c.new, 1))
		switch {
		case c.want == "" && (err != nil || len(o.ISCSI.Units) != 1):
			t.Errorf("as shipped, turned on: %v", err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), ": "+c.want)):
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}

// The example holds together: it is loaded from where its comment says.
func TestExample(t *testing.T) {
	t.Chdir("../..")
	text, err := os.ReadFile("examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text, none)
	if err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperator(func(name string) string { return map[string]string{envOperator: "examples/operator.toml"}[name] }, c.Settings)
	if err != nil {
		t.Fatal(err)
	}
	set := o.Settings(c.Settings)
	if len(o.Contracts.Catalog.Entries()) != 3 || set.RetryBudget.Share != 0.2 || !set.ZoneFailover.Enabled() || len(set.ZoneFailover.Work) != 1 {
		t.Errorf("%+v", set)
	}
	if _, err := scheduler.New(set, 1, nil); err != nil {
		t.Error(err)
	}
}

func TestRooms(t *testing.T) {
	head := "[rooms]\nenabled = true\nspill = 20.0\nburst = 16.0\n"
	for text, want := range map[string]string{
		"":                                      "[0 1 1] []",
		"prefer = [['room-c'], ['room-a']]\n":   "[1 2 0] []",
		"prefer = [['room-b', 'room-c']]\n":     "[1 0 0] []",
		"[[rooms.work]]\nforbid = ['room-b']\n": "[0 1 1] [{-1 -1 [0 -1 1]}]",
		"[[rooms.work]]\nclass = 'write'\nplan = 'gold'\nprefer = [['room-b']]\n": "[0 1 1] [{1 0 [1 0 1]}]",
	} {
		o, err := operatorFaults(t, head+text)
		if err != nil {
			t.Error(err)
			continue
		}
		if got := fmt.Sprint(o.ZoneFailover.Settings.Tiers, " ", o.ZoneFailover.Settings.Work); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
		if set := o.Settings(scheduler.Settings{}); !set.ZoneFailover.Enabled() || set.ZoneFailover.Spillover != 20 {
			t.Errorf("%+v", set.ZoneFailover)
		}
	}
	for text, want := range map[string]string{
		"[[rooms.work]]\nclass = 'x'\n":                             `rooms.work[0].class: the settings have no "x"`,
		"[[rooms.work]]\nplan = 'x'\n":                              `rooms.work[0].plan: the settings have no "x"`,
		"[[rooms.work]]\nforbid = ['x']\n":                          `rooms.work[0].forbid: the settings have no room "x"`,
		"[[rooms.work]]\nforbid = ['room-a', 'room-b', 'room-c']\n": "rooms.work[0].forbid: no room is left",
		"gateways = 2\n":                                            "rooms.gateways: 2 is not from 0 to 1",
		"share = 11.0\n":                                            "rooms.share: 11 is not from 0 to 10",
		"prefer = [[], [], [], [], [], [], [], [], [], [], [], [], [], [], [], [], []]\n": "rooms.prefer: there are 17 tiers",
	} {
		if _, err := operatorFaults(t, head+text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if o, err := operatorFaults(t, "[rooms]\nspill = 5.0\n"); err != nil || len(o.Settings(scheduler.Settings{}).ZoneFailover.Tiers) > 0 {
		t.Errorf("on without being enabled: %v", err)
	}
}

func TestOperatorFileTellsAllFaultsAtOnce(t *testing.T) {
	_, err := operatorFaults(t, "[log]\nformat = 'xml'\nlevl = 'info'\n[iscsi]\nenabled = true\nlisten = '127.0.0.1:1'\ntarget = 'iqn.x'\n"+
		"description = 'd'\n[[iscsi.unit]]\nlun = 1\nvolume = 'short'\nplan = 'gold'\nread_class = 'read'\nwrite_class = 'write'\nblocks = 0")
	want := `f:2:1: log.format: "xml" is neither json nor text
f:3:1: log.levl: unknown key; did you mean "level"?
f:11:1: iscsi.unit[0].volume: "short" is not 16 hex digits
f:15:1: iscsi.unit[0].blocks: 0 is below 1`
	if diff := cmp.Diff(want, fmt.Sprint(err)); diff != "" {
		t.Error(diff)
	}
}

func TestOperatorFileThatIsNamedMustBeThere(t *testing.T) {
	if o, err := LoadOperator(none, scheduler.Settings{}); err != nil || o.ISCSI != nil {
		t.Errorf("without a file: %v, %v", o, err)
	}
	for _, c := range []struct{ variable, value, want string }{
		{envOperator, "/nowhere.toml", envOperator + ": "}, {envLog, "loud", envLog + ": "}} {
		_, err := LoadOperator(func(name string) string { return map[string]string{c.variable: c.value}[name] }, scheduler.Settings{})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v", c.variable, err)
		}
	}
}
