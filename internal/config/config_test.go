package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const platformJSON = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",` +
	`"limits":{"sockets":100},` +
	`"known":{"seq":4,"whole":true,"hosts":[{"host":"h","dial":"127.0.0.1:3","health":"up"}]},` +
	`"settings":{"siblings":1,"membershipMode":"ask","dcs":["room-a","room-b","room-c"],"classes":[` +
	`{"name":"read","aimMs":300,"deadlineMs":500,"idempotency":"idempotent"},` +
	`{"name":"write","aimMs":300,"deadlineMs":500,"idempotency":"deduplicated"}],` +
	`"familyInfo":{"changesData":[false,true]},"policies":[{"name":"gold"}]}}`

func emptyEnvironment(string) string { return "" }

// environment returns a getenv function for the given variables.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// writeFile writes a file into a temporary directory of the test and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestParseAppliesDefaultsAndEnvironment(t *testing.T) {
	c, err := Parse([]byte(platformJSON), environment(map[string]string{envName: "other"}))
	if err != nil {
		t.Fatal(err)
	}
	want := Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: 100}
	if diff := cmp.Diff(want, c.Limits); diff != "" || c.Name != "other" || c.Seed != 255 || c.CachedList.Seq != 4 {
		t.Errorf("parsed %+v, want the name %q, the seed 255 and the list's version 4; limits (-want +got):\n%s",
			c, "other", diff)
	}
}

// An error at the start or at a reload names the file and the key.
func TestLoadErrorsNameFileAndKey(t *testing.T) {
	path := writeFile(t, "config.json", strings.Replace(platformJSON, "127.0.0.1:2", "nowhere", 1))
	for name, load := range map[string]func(func(string) string) (*Config, error){"Load": Load, "Reload": Reload} {
		t.Run(name, func(t *testing.T) {
			_, err := load(environment(map[string]string{EnvConfig: path}))
			if err == nil || !strings.Contains(err.Error(), path+": discovery: ") {
				t.Errorf("error %v, want one that contains %q", err, path+": discovery: ")
			}
			var located *Error
			if !errors.As(err, &located) || located.Source != path || located.Key != "discovery" {
				t.Errorf("error is %#v, want an Error with the source %q and the key %q", located, path, "discovery")
			}
		})
	}
}

// On sockets the list of nodes has to be watched, whether the platform pushes it or has it polled.
func TestPushedMembershipIsWatched(t *testing.T) {
	for mode, wantAgent := range map[string]bool{"ask": false, "push": true} {
		t.Run(mode, func(t *testing.T) {
			text := strings.Replace(platformJSON, `"ask"`, `"`+mode+`"`, 1)
			c, err := Parse([]byte(text), emptyEnvironment)
			if err != nil {
				t.Fatal(err)
			}
			if c.Settings.PollMembership == wantAgent || c.Settings.LocalAgent != wantAgent {
				t.Errorf("PollMembership is %v, want %v; LocalAgent is %v, want %v",
					c.Settings.PollMembership, !wantAgent, c.Settings.LocalAgent, wantAgent)
			}
		})
	}
}

// The environment of a running gateway stays that of its start, so a changed value can only come from the file.
func TestReloadPrefersFileToEnvironment(t *testing.T) {
	getenv := environment(map[string]string{
		EnvConfig:    writeFile(t, "config.json", platformJSON),
		envDiscovery: "127.0.0.1:9",
		envName:      "other",
	})
	for want, load := range map[string]func(func(string) string) (*Config, error){
		"127.0.0.1:9 other": Load,
		"127.0.0.1:2 n":     Reload,
	} {
		c, err := load(getenv)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, c.Discovery+" "+c.Name); diff != "" {
			t.Errorf("discovery address and name (-want +got):\n%s", diff)
		}
	}
}

func TestParseErrorsNameKey(t *testing.T) {
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
		t.Run(c.want, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(platformJSON, c.old, c.new, 1)), emptyEnvironment)
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("%s: error %v, want one that begins with %s", c.new, err, c.want)
			}
		})
	}
	if _, err := Load(emptyEnvironment); err == nil || err.Error() != "BALANCER_CONFIG: is not set" {
		t.Errorf("Load without environment variables: error %v, want %q", err, "BALANCER_CONFIG: is not set")
	}
}
