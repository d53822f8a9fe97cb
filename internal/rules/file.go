package rules

import "reachpulley/internal/rules/expression"

// ruleFile is a rule file as it is written.
type ruleFile struct {
	Version int              `toml:"version"`
	Seed    uint64           `toml:"seed"`   // of the function hash
	Budget  int              `toml:"budget"` // of the whole set
	OnFault string           `toml:"on_fault"`
	Sizes   expression.Sizes `toml:"sizes"`
	Const   map[string]any   `toml:"const"`
	Let     []letEntry       `toml:"let"`
	Rule    []ruleEntry      `toml:"rule"`
	Limit   []limitEntry     `toml:"limit"`
	Test    []testEntry      `toml:"test"`
}

// letEntry is a named expression.
type letEntry struct {
	Name       string `toml:"name"`
	Expression string `toml:"is"`
}

type ruleEntry struct {
	Name      string            `toml:"name"`
	Stage     string            `toml:"stage"`
	Path      string            `toml:"path"`
	Condition string            `toml:"when"`
	Set       map[string]string `toml:"set"`
	Wins      bool              `toml:"wins"`
	OnFault   string            `toml:"on_fault"`
}

type limitEntry struct {
	Name      string  `toml:"name"`
	Condition string  `toml:"when"`
	Key       string  `toml:"key"`
	Rate      float64 `toml:"rate"`
	Burst     float64 `toml:"burst"`
	Open      int     `toml:"open"`
	Parent    string  `toml:"parent"`
	Keys      int     `toml:"keys"`
	Per       string  `toml:"per"`
	OnFault   string  `toml:"on_fault"`
}

// testEntry is a request and what the rules must set for it.
type testEntry struct {
	Name     string            `toml:"name"`
	Request  string            `toml:"request"` // the head of an HTTP/1.1 message, or JSON
	Assigned map[string]string `toml:"gives"`
	Limits   map[string]string `toml:"limits"`
	Rejected string            `toml:"refused"` // a part of the reason; empty: the request must not be rejected
}

// fileVersion is the version of rule files that this program reads.
const fileVersion = 1

// What a fault does to a request.
const (
	faultRejects = "refuse" // it is rejected with 400, which names the rule and what it requires
	faultSkips   = "skip"   // the rule does not apply, and the next one is tried
)

// Where a limit holds.
const (
	perTier    = "tier"    // over all gateways of the settings, each of which gets an equal share
	perGateway = "gateway" // at each gateway
)

// defaultBudget is the worst-case cost that a set may have, in estimated nanoseconds a request, if the file names none.
const defaultBudget = 20_000

// defaultKeys is the number of keys that a limit counts exactly if the file does not say.
const defaultKeys = 1 << 16

// Bounds of a file.
const (
	maxBudget          = 1_000_000
	maxRules           = 10_000
	maxLets            = 256
	minSize            = 256
	maxSize            = 1 << 20
	maxIdentifierBytes = 64
)
