package rules

import "reachpulley/internal/rules/expression"

// ruleFile is the content of a rule file.
type ruleFile struct {
	Version int              `toml:"version"`
	Seed    uint64           `toml:"seed"`     // seed of the function hash
	Budget  int              `toml:"budget"`   // the highest worst-case cost allowed, in estimated nanoseconds
	OnFault string           `toml:"on_fault"` // the value of on_fault for rules and limits that have none of their own
	Sizes   expression.Sizes `toml:"sizes"`
	Const   map[string]any   `toml:"const"`
	Let     []letEntry       `toml:"let"`
	Rule    []ruleEntry      `toml:"rule"`
	Limit   []limitEntry     `toml:"limit"`
	Test    []testEntry      `toml:"test"`
}

// letEntry is a named expression of a rule file, which other expressions may use.
type letEntry struct {
	Name       string `toml:"name"`
	Expression string `toml:"is"`
}

// ruleEntry is a rule of a rule file.
type ruleEntry struct {
	Name             string            `toml:"name"`
	Stage            string            `toml:"stage"`
	Path             string            `toml:"path"`
	Condition        string            `toml:"when"`
	Set              map[string]string `toml:"set"`
	OverridesHeaders bool              `toml:"wins"` // whether its values override the platform's headers
	OnFault          string            `toml:"on_fault"`
}

// limitEntry is a limit of a rule file.
type limitEntry struct {
	Name      string  `toml:"name"`
	Condition string  `toml:"when"`
	Key       string  `toml:"key"`
	Rate      float64 `toml:"rate"`   // requests per second
	Burst     float64 `toml:"burst"`  // requests at once after an idle time
	Open      int     `toml:"open"`   // requests open at a time
	Parent    string  `toml:"parent"` // name of a limit that must admit the request as well
	Keys      int     `toml:"keys"`   // number of keys that are counted exactly; 0: defaultKeys
	Per       string  `toml:"per"`
	OnFault   string  `toml:"on_fault"`
}

// testEntry is a test of a rule file: a request, and what the rules and limits must give for it.
type testEntry struct {
	Name     string            `toml:"name"`
	Request  string            `toml:"request"` // the head of an HTTP/1.1 message, or JSON
	Assigned map[string]string `toml:"gives"`   // by field: the value that the rules must set
	Limits   map[string]string `toml:"limits"`  // by limit: the key by which it must count the request
	Rejected string            `toml:"refused"` // a substring of the error; empty: the request must not be rejected
}

// fileVersion is the version of rule files that this program reads.
const fileVersion = 1

// The values of on_fault, which say what a fault does to a request.
const (
	faultRejects = "refuse" // the request is rejected with status 400; the error names the rule and what it requires
	faultSkips   = "skip"   // the rule does not apply, and the next one is tried
)

// The values of per, which say where a limit holds.
const (
	perTier    = "tier"    // over all gateways of the settings, each of which gets an equal share
	perGateway = "gateway" // at each gateway separately
)

// defaultBudget is the worst-case cost that the rules may have if the file names no budget, in estimated nanoseconds
// per request.
const defaultBudget = 20_000

// defaultKeys is the number of keys that a limit counts exactly if the file does not say how many.
const defaultKeys = 1 << 16

// Bounds of what a rule file may hold.
const (
	maxBudget          = 1_000_000 // estimated nanoseconds per request
	maxRules           = 10_000
	maxLets            = 256
	minSize            = 256     // minimum of each size in the table sizes (headers, path, query), in bytes
	maxSize            = 1 << 20 // maximum of each of these sizes, in bytes
	maxIdentifierBytes = 64
)
