// Package config is the one place where the gateway's configuration is read, checked and given defaults. Its
// errors name the faulty key.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"reachpulley/internal/discovery"
	"reachpulley/internal/simprotocol"
	"reachpulley/scheduler"
)

// The environment's variables.
const (
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
	envConfig    = "BALANCER_CONFIG"
)

// What holds where the configuration names no limit.
const (
	defaultCores   = 1
	defaultMemory  = 192
	defaultSockets = 1024
	leastSockets   = 64
	leastMemory    = 32
	defaultConnect = 250 * time.Millisecond
	defaultIdle    = 15 * time.Second
)

// Config is all that a gateway is told.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	Limits     Limits
	CachedList *discovery.List // nil: none
	Settings   scheduler.Settings
}

// Limits bound what the gateway may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the environment by getenv and the file that it names. What the environment sets goes before what the
// file says.
func Load(getenv func(string) string) (*Config, error) { return read(getenv, Parse) }

// Reload reads the file again for a gateway that runs. The environment is that of its start and can't have changed
// since, so what the file says goes first now.
func Reload(getenv func(string) string) (*Config, error) { return read(getenv, parseAgain) }

func read(getenv func(string) string, parse func([]byte, func(string) string) (*Config, error)) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, fmt.Errorf("%s: is not set", envConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	c, err := parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads the text of the file as Load does.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	return parse(text, getenv, func(file, env string) string { return cmp.Or(env, file) })
}

func parseAgain(text []byte, getenv func(string) string) (*Config, error) {
	return parse(text, getenv, func(file, env string) string { return cmp.Or(file, env) })
}

func parse(text []byte, getenv func(string) string, choose func(file, env string) string) (*Config, error) {
	f := file{Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemory, Sockets: defaultSockets}}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, named(err)
	}
	for variable, into := range map[string]*string{
		envName: &f.Name, envListen: &f.Listen, envDiscovery: &f.Discovery} {
		*into = choose(*into, getenv(variable))
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits}
	if err := address("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := address("discovery", c.Discovery); err != nil {
		return nil, err
	}
	switch l := c.Limits; {
	case l.Cores <= 0:
		return nil, fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case l.MemoryMB < leastMemory:
		return nil, fmt.Errorf("limits.memory_mb: %d is under %d", l.MemoryMB, leastMemory)
	case l.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, leastSockets)
	}
	var err error
	if f.Seed == "" {
		c.Seed = rand.Uint64()
	} else if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a number of 16 hex digits", f.Seed)
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.CachedList, err = discovery.ParseList(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", named(err))
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: is missing")
	}
	if c.Settings, err = simprotocol.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", named(err))
	}
	c.Settings.LocalAgent = !c.Settings.PollMembership // on sockets, what is pushed has to be watched, too
	allowed := &c.Settings.Allowed
	if allowed.ConnectTimeout < 0 {
		return nil, fmt.Errorf("settings.ceilings.dialTimeoutMs: %v is below 0", allowed.ConnectTimeout)
	}
	if allowed.IdleTimeout < 0 {
		return nil, fmt.Errorf("settings.ceilings.connIdleMs: %v is below 0", allowed.IdleTimeout)
	}
	allowed.ConnectTimeout = cmp.Or(allowed.ConnectTimeout, defaultConnect)
	allowed.IdleTimeout = cmp.Or(allowed.IdleTimeout, defaultIdle)
	return c, nil
}

// Settings reads settings alone, from a file of this form or from its "settings".
func Settings(text []byte) (scheduler.Settings, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return scheduler.Settings{}, named(err)
	}
	if len(f.Settings) == 0 {
		f.Settings = text
	}
	set, err := simprotocol.ParseSettings(f.Settings)
	if err != nil {
		return set, fmt.Errorf("settings: %w", named(err))
	}
	return set, nil
}

// named words a fault of JSON by the key at which it stands.
func named(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("%s: want %v, got %s", wrong.Field, wrong.Type, wrong.Value)
	}
	return err
}

func address(key, value string) error {
	if err := hostPort(value); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

func hostPort(value string) error {
	if value == "" {
		return errors.New("is missing")
	}
	_, _, err := net.SplitHostPort(value)
	return err
}
