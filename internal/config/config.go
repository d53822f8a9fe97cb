// Package config reads, checks and completes the configuration of the gateway: the environment, the platform's JSON
// file and the operator's TOML file. Its errors name the file or the environment variable and, if the fault is at a
// key, the key.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"reachpulley/internal/discovery"
	"reachpulley/internal/simprotocol"
	"reachpulley/scheduler"
)

// EnvConfig is the environment variable that names the platform's file.
const EnvConfig = "BALANCER_CONFIG"

// Environment variables that replace values of the platform's file.
const (
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
	envConsole   = "BALANCER_CONSOLE"
)

// Defaults for values that the platform's file leaves out.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = 15 * time.Second
)

// Minimums of the limits in the platform's file.
const (
	minSockets  = 64
	minMemoryMB = 32
)

// Config is the platform's configuration of a gateway.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Console    string // address of the admin API; empty: off
	Seed       uint64
	Limits     Limits
	CachedList *discovery.List // list of nodes in the platform's file; nil: none
	Settings   scheduler.Settings
}

// Limits are the resources that the gateway may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// platformFile is the platform's file in its JSON form.
type platformFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Console    string          `json:"console"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// precedence chooses between the value of the platform's file and that of the environment. An empty value counts as not
// set.
type precedence func(file, environment string) string

func preferEnvironment(file, environment string) string { return cmp.Or(environment, file) }

func preferFile(file, environment string) string { return cmp.Or(file, environment) }

// Load reads the environment through getenv, and the platform's file that the environment names. Values of the
// environment take precedence over those of the file.
func Load(getenv func(string) string) (*Config, error) { return read(getenv, preferEnvironment) }

// Reload reads the platform's file again for a running gateway. The environment cannot have changed since the start,
// so values of the file take precedence.
func Reload(getenv func(string) string) (*Config, error) { return read(getenv, preferFile) }

// Parse parses the text of the platform's file as Load does.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	return parse(text, getenv, preferEnvironment)
}

// ParseSettings parses only the settings. The text is either a whole platform file or the settings alone.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return scheduler.Settings{}, jsonError(err)
	}
	if len(file.Settings) == 0 {
		file.Settings = text
	}
	settings, err := simprotocol.ParseSettings(file.Settings)
	if err != nil {
		return settings, &Error{Key: "settings", Err: jsonError(err)}
	}
	return settings, nil
}

func read(getenv func(string) string, prefer precedence) (*Config, error) {
	path := getenv(EnvConfig)
	if path == "" {
		return nil, &Error{Source: EnvConfig, Err: errors.New("is not set")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Source: EnvConfig, Err: err}
	}
	c, err := parse(text, getenv, prefer)
	if err != nil {
		return nil, withSource(path, err)
	}
	return c, nil
}

func parse(text []byte, getenv func(string) string, prefer precedence) (*Config, error) {
	file := platformFile{Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, jsonError(err)
	}
	c := &Config{
		Name:      prefer(file.Name, getenv(envName)),
		Listen:    prefer(file.Listen, getenv(envListen)),
		Discovery: prefer(file.Discovery, getenv(envDiscovery)),
		Console:   prefer(file.Console, getenv(envConsole)),
		Limits:    file.Limits,
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if c.Console != "" {
		if err := checkAddress("console", c.Console); err != nil {
			return nil, err
		}
	}
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = parseSeed(file.Seed); err != nil {
		return nil, err
	}
	if c.CachedList, err = parseCachedList(file.CachedList); err != nil {
		return nil, err
	}
	if c.Settings, err = parseGatewaySettings(file.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

func (l Limits) check() error {
	switch {
	case l.Cores <= 0:
		return keyError("limits.cores", "%v is not above 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return keyError("limits.memory_mb", "%d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return keyError("limits.sockets", "%d is under %d", l.Sockets, minSockets)
	}
	return nil
}

// parseSeed parses up to 16 hexadecimal digits. An empty text gives a random seed.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return rand.Uint64(), nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, keyError("seed", "%q is not a number of up to 16 hex digits", text)
	}
	return seed, nil
}

func parseCachedList(text json.RawMessage) (*discovery.List, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	list, err := discovery.ParseList(text)
	if err != nil {
		return nil, &Error{Key: "known", Err: jsonError(err)}
	}
	return list, nil
}

// parseGatewaySettings parses the settings and completes them for a gateway on sockets.
func parseGatewaySettings(text json.RawMessage) (scheduler.Settings, error) {
	if len(text) == 0 {
		return scheduler.Settings{}, keyError("settings", "is missing")
	}
	settings, err := simprotocol.ParseSettings(text)
	if err != nil {
		return scheduler.Settings{}, &Error{Key: "settings", Err: jsonError(err)}
	}
	settings.LocalAgent = !settings.PollMembership // on sockets, the gateway also has to watch a pushed list
	if err := completeTimeouts(&settings.Allowed); err != nil {
		return scheduler.Settings{}, err
	}
	return settings, nil
}

func completeTimeouts(allowed *scheduler.Allowed) error {
	if allowed.ConnectTimeout < 0 {
		return keyError("settings.ceilings.dialTimeoutMs", "%v is below 0", allowed.ConnectTimeout)
	}
	if allowed.IdleTimeout < 0 {
		return keyError("settings.ceilings.connIdleMs", "%v is below 0", allowed.IdleTimeout)
	}
	allowed.ConnectTimeout = cmp.Or(allowed.ConnectTimeout, defaultConnectTimeout)
	allowed.IdleTimeout = cmp.Or(allowed.IdleTimeout, defaultIdleTimeout)
	return nil
}

func checkAddress(key, value string) error {
	if err := checkHostPort(value); err != nil {
		return &Error{Key: key, Err: err}
	}
	return nil
}

func checkHostPort(value string) error {
	if value == "" {
		return errors.New("is missing")
	}
	_, _, err := net.SplitHostPort(value)
	return err
}
