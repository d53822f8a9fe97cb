package rules

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/configfile"
	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// DefaultBudget is the worst cost of a set, in reckoned nanoseconds a request, where the file names none.
const DefaultBudget = 20_000

const (
	mostBudget = 1_000_000
	mostRules  = 10_000
	mostLets   = 256
)

// document is a rule file as it is written.
type document struct {
	Version int              `toml:"version"`
	Seed    uint64           `toml:"seed"`   // of hash()
	Budget  int              `toml:"budget"` // of the whole set
	OnFault string           `toml:"on_fault"`
	Sizes   expression.Sizes `toml:"sizes"`
	Const   map[string]any   `toml:"const"`
	Let     []letEntry       `toml:"let"`
	Rule    []ruleEntry      `toml:"rule"`
	Limit   []limitEntry     `toml:"limit"`
	Test    []testEntry      `toml:"test"`
}

type letEntry struct {
	Name string `toml:"name"`
	Is   string `toml:"is"`
}

type ruleEntry struct {
	Name    string            `toml:"name"`
	Stage   string            `toml:"stage"`
	Path    string            `toml:"path"`
	When    string            `toml:"when"`
	Set     map[string]string `toml:"set"`
	Wins    bool              `toml:"wins"`
	OnFault string            `toml:"on_fault"`
}

type limitEntry struct {
	Name    string  `toml:"name"`
	When    string  `toml:"when"`
	Key     string  `toml:"key"`
	Rate    float64 `toml:"rate"`
	Burst   float64 `toml:"burst"`
	Open    int     `toml:"open"`
	Parent  string  `toml:"parent"`
	Keys    int     `toml:"keys"`
	Per     string  `toml:"per"`
	OnFault string  `toml:"on_fault"`
}

// Where a limit holds.
const (
	perTier    = "tier"    // over all gateways of the settings, each of which gets an even part
	perGateway = "gateway" // at each gateway
)

const (
	defaultKeys = 1 << 16
	takeCost    = 300 // of one limit, in reckoned nanoseconds
)

// What a fault does to a request.
const (
	faultRefuses = "refuse" // it is refused with 400, and told which rule wanted what
	faultSkips   = "skip"   // the rule does not apply, and the next is tried
)

// Load reads a rule file. Its errors are configfile.Faults, all at once.
func Load(path string, settings scheduler.Settings) (*Set, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return compile(file, settings)
}

// Parse is Load for a text.
func Parse(path string, text []byte, settings scheduler.Settings) (*Set, error) {
	file, err := configfile.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return compile(file, settings)
}

// compiler gathers a set and the faults of its file.
type compiler struct {
	file   *configfile.Document
	doc    document
	set    *Set
	scope  expression.Scope
	faults configfile.Faults
}

func compile(file *configfile.Document, settings scheduler.Settings) (*Set, error) {
	c := &compiler{file: file, doc: document{Version: 1, Budget: DefaultBudget, OnFault: faultRefuses, Sizes: expression.DefaultSizes}}
	sum := xxhash.New()
	sum.Write(file.Text())
	c.set = &Set{Hash: hex.EncodeToString(sum.Sum(nil)), Path: file.Path, settings: settings,
		classes: map[string]int{}, plans: map[string]int{}}
	for i, one := range settings.Classes {
		c.set.classes[one.Name] = i
	}
	for i, one := range settings.Plans {
		c.set.plans[one.Name] = i
	}
	c.faults = file.Decode(&c.doc)
	if len(c.faults) == 0 { // what is of the wrong type would be reported once more as missing
		c.header()
		c.lets()
		c.rules()
		c.limits()
		c.tests()
	}
	if len(c.faults) == 0 {
		c.budget()
	}
	return c.set, c.faults.Err()
}

func (c *compiler) fault(key, format string, args ...any) {
	c.faults = append(c.faults, c.file.Fault(key, format, args...))
}

func (c *compiler) header() {
	d := &c.doc
	if d.Version != 1 {
		c.fault("version", "%d is not known; this program reads version 1", d.Version)
	}
	if d.Budget < 1 || d.Budget > mostBudget {
		c.fault("budget", "%d is not from 1 to %d", d.Budget, mostBudget)
	}
	c.onFault("on_fault", d.OnFault)
	for key, n := range map[string]int{"headers": d.Sizes.Headers, "path": d.Sizes.Path, "query": d.Sizes.Query} {
		if n < 256 || n > 1<<20 {
			c.fault("sizes."+key, "%d is not from 256 to %d", n, 1<<20)
		}
	}
	for name, value := range d.Const {
		c.constant(name, value)
	}
	if len(d.Rule) > mostRules {
		c.fault("rule", "%d rules are more than %d", len(d.Rule), mostRules)
	}
	if len(d.Let) > mostLets {
		c.fault("let", "%d named expressions are more than %d", len(d.Let), mostLets)
	}
	c.set.Sizes, c.set.seed, c.set.budget = d.Sizes, d.Seed, d.Budget
	c.scope = expression.Scope{Sizes: d.Sizes, Constants: d.Const, Lets: map[string]*expression.Program{}, LetIndex: map[string]int{}}
}

// skips tells what a fault does to a rule.
func (c *compiler) skips(key, word string) bool {
	if word == "" {
		return c.doc.OnFault == faultSkips
	}
	c.onFault(key+".on_fault", word)
	return word == faultSkips
}

// condition compiles when a rule applies.
func (c *compiler) condition(key, when string, scope expression.Scope, r *Rule) {
	if when == "" {
		return
	}
	scope.Condition = true
	if r.when = c.program(key+".when", when, scope, expression.Bool); r.when != nil {
		r.needs = r.when.Conjuncts()
	}
}

// limits compiles the limits. A tier's limit is divided by the number of gateways that the settings name.
func (c *compiler) limits() {
	scope := c.scope
	scope.ClientKnown, scope.DecisionKnown = true, true
	for i, e := range c.doc.Limit {
		key := fmt.Sprintf("limit[%d]", i)
		l := &limitRule{Rule: Rule{Name: e.Name, Place: c.file.Fault(key, "").Position(), Skip: c.skips(key, e.OnFault)}}
		c.condition(key, e.When, scope, &l.Rule)
		l.key = c.program(key+".key", e.Key, scope, expression.String)
		parts := 1.0
		switch e.Per {
		case perTier, "":
			parts = float64(max(1, c.set.settings.Siblings))
		case perGateway:
		default:
			c.fault(key+".per", "%q is neither %s nor %s", e.Per, perTier, perGateway)
		}
		l.def = ratelimit.Definition{Name: e.Name, Rate: e.Rate / parts, Burst: e.Burst, Open: e.Open, Parent: e.Parent, Keys: cmp.Or(e.Keys, defaultKeys)}
		if e.Burst > 0 {
			l.def.Burst = max(1, e.Burst/parts)
		}
		if e.Open > 0 {
			l.def.Open = max(1, int(float64(e.Open)/parts))
		}
		c.set.limits = append(c.set.limits, l)
	}
	if len(c.doc.Limit) > ratelimit.MaxClaims {
		c.fault("limit", "%d limits are more than the %d that a request may be held to", len(c.doc.Limit), ratelimit.MaxClaims)
		return
	}
	if i, err := ratelimit.Check(c.set.Limits()); err != nil {
		c.fault(fmt.Sprintf("limit[%d]", i), "%v", err)
	}
}

// tests checks the file's own table of requests; running it is another matter.
func (c *compiler) tests() {
	for i, t := range c.doc.Test {
		key := fmt.Sprintf("test[%d]", i)
		f, err := ParseRequest(t.Request)
		if err != nil {
			c.fault(key+".request", "%v", err)
		}
		for name := range t.Gives {
			if !slices.Contains(fieldNames(), name) {
				c.fault(key+".gives."+name, "no rule gives %q%s", name, configfile.DidYouMean(name, fieldNames()))
			}
		}
		c.set.Cases = append(c.set.Cases, Case{t.Name, f})
	}
	c.set.tests = c.doc.Test
}

func (c *compiler) onFault(key, word string) {
	if word != faultRefuses && word != faultSkips {
		c.fault(key, "%q is neither %s nor %s", word, faultRefuses, faultSkips)
	}
}

func (c *compiler) constant(name string, value any) {
	switch v := value.(type) {
	case string, bool, int64, float64:
		return
	case []any:
		if !slices.ContainsFunc(v, func(one any) bool { _, ok := one.(string); return !ok }) {
			return
		}
	}
	c.fault("const."+name, "want a string, a number, true, false or a list of strings")
}

// program compiles the expression at a key.
func (c *compiler) program(key, source string, scope expression.Scope, want ...expression.Type) *expression.Program {
	p, err := expression.Compile(source, scope, want...)
	var at *expression.SourceError
	switch {
	case errors.As(err, &at):
		f := c.file.FaultWithin(key, at.Offset, "%s%s", at.Message, c.near(at))
		c.faults = append(c.faults, f)
		return nil
	case err != nil:
		c.fault(key, "%v", err)
		return nil
	}
	return p
}

// near names what a word that is not known may have been meant for.
func (c *compiler) near(at *expression.SourceError) string {
	word := at.UnknownName()
	if word == "" {
		return ""
	}
	names := slices.Concat(expression.Names(), slices.Collect(maps.Keys(c.scope.Lets)), slices.Collect(maps.Keys(c.scope.Constants)))
	slices.Sort(names)
	return configfile.DidYouMean(word, names)
}

func (c *compiler) lets() {
	for i, l := range c.doc.Let {
		key := fmt.Sprintf("let[%d]", i)
		if !isName(l.Name) || slices.Contains(expression.Names(), l.Name) {
			c.fault(key+".name", "%q is no name, or one that the language has", l.Name)
			continue
		}
		if _, taken := c.doc.Const[l.Name]; taken || c.scope.Lets[l.Name] != nil {
			c.fault(key+".name", "%q is taken", l.Name)
			continue
		}
		if p := c.program(key+".is", l.Is, c.scope, expression.String, expression.Int, expression.Bool); p != nil {
			c.scope.Lets[l.Name], c.scope.LetIndex[l.Name] = p, len(c.set.lets)
			c.set.lets, c.set.letNames = append(c.set.lets, p), append(c.set.letNames, l.Name)
		}
	}
}

func isName(text string) bool {
	return text != "" && len(text) <= 64 && strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_0123456789") == "" &&
		(text[0] < '0' || text[0] > '9')
}

func (c *compiler) rules() {
	names := map[string]bool{}
	for stage := range c.set.tables {
		c.set.tables[stage] = newTable(nil)
	}
	for i, e := range c.doc.Rule {
		key := fmt.Sprintf("rule[%d]", i)
		before := len(c.faults)
		r := c.rule(key, e)
		if names[e.Name] {
			c.fault(key+".name", "%q is taken", e.Name)
		}
		names[e.Name] = true
		if len(c.faults) > before {
			continue
		}
		table := c.set.tables[r.Stage]
		if dead := dead(r, table); dead != "" {
			c.fault(key+".name", "rule %s can never match: %s", r.Name, dead)
			continue
		}
		table.add(r)
		c.set.rules = append(c.set.rules, r)
	}
}

func (c *compiler) rule(key string, e ruleEntry) *Rule {
	r := &Rule{Name: e.Name, Path: e.Path, Wins: e.Wins, Place: c.file.Fault(key, "").Position()}
	if !isName(strings.NewReplacer("-", "_", " ", "_").Replace(e.Name)) {
		c.fault(key+".name", "%q is no name of letters, digits, blanks, - and _", e.Name)
	}
	stage := slices.Index(stageNames[:], e.Stage)
	if stage < 0 {
		c.fault(key+".stage", "%q is none of %s%s", e.Stage, strings.Join(stageNames[:], ", "), configfile.DidYouMean(e.Stage, stageNames[:]))
		return r
	}
	r.Stage = Stage(stage)
	r.Skip = c.skips(key, e.OnFault)
	var err error
	if r.template, err = parseTemplate(e.Path); err != nil {
		c.fault(key+".path", "%v", err)
	}
	scope := c.scope
	scope.Params, scope.ClientKnown = r.template.params, r.Stage > Normalise
	c.condition(key, e.When, scope, r)
	if len(e.Set) == 0 {
		c.fault(key, "rule %s sets nothing", e.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(e.Set)) {
		f := Field(slices.IndexFunc(fieldTable[:], func(f field) bool { return f.name == name }))
		at := key + ".set." + name
		if f < 0 {
			c.fault(at, "no rule can set %q%s", name, configfile.DidYouMean(name, fieldNames()))
			continue
		}
		if fieldTable[f].stage != r.Stage {
			c.fault(at, "%s is set in the stage %s, not in %s", name, fieldTable[f].stage, r.Stage)
			continue
		}
		p := c.program(at, e.Set[name], scope, fieldTable[f].types...)
		if p == nil {
			continue
		}
		if value, ok := p.Constant(); ok {
			if _, fault := c.set.check(f, value); fault != nil {
				c.fault(at, "wants %s%s", fault.Wants, c.nearSetting(f, value))
				continue
			}
		}
		r.sets = append(r.sets, setting{f, p})
	}
	c.contradiction(key, r)
	return r
}

func fieldNames() (names []string) {
	for _, f := range fieldTable {
		names = append(names, f.name)
	}
	return names
}

func (c *compiler) nearSetting(f Field, value any) string {
	of := map[Field]map[string]int{Class: c.set.classes, Plan: c.set.plans}[f]
	word, _ := value.(string)
	return configfile.DidYouMean(word, slices.Sorted(maps.Keys(of)))
}

// contradiction refuses a class that only reads for a method that writes: its requests would count as harmless to
// repeat. Where the rule leaves the method open, each request is held to it (see Writes).
func (c *compiler) contradiction(key string, r *Rule) {
	for _, set := range r.sets {
		if set.field != Class {
			continue
		}
		name, ok := set.program.Constant()
		if !ok {
			continue
		}
		for _, one := range r.needs {
			if one.Attribute == "method" && Writes(one.Value) && !c.set.settings.Classes[c.set.classes[name.(string)]].Writes {
				c.fault(key+".set.class", "class %q only reads, and the rule takes %s, which writes: repeats would not be harmless", name, one.Value)
			}
		}
	}
}

// Writes tells whether a method changes data: all do that are not known to be safe (RFC 9110, section 9.2.1).
func Writes(method string) bool {
	return method != "GET" && method != "HEAD" && method != "OPTIONS"
}

// dead tells why a rule can never match.
func dead(r *Rule, earlier *table) string {
	if r.when != nil {
		if value, ok := r.when.Constant(); ok && value == false {
			return "its condition is always false"
		}
	}
	values := map[string]string{}
	for _, one := range r.needs {
		if one.Attribute == "" {
			continue
		}
		if other, ok := values[one.Attribute]; ok && other != one.Value {
			return fmt.Sprintf("%s can't be both %q and %q", one.Attribute, other, one.Value)
		}
		values[one.Attribute] = one.Value
	}
	// Skip is no reason to pass over an earlier rule: that one may fault, and then this one is tried.
	for _, i := range earlier.covering(r) {
		other := earlier.rules[i]
		if other.Skip || !other.template.covers(&r.template) {
			continue
		}
		if subset(other.needs, r.needs) {
			return fmt.Sprintf("rule %s at %s takes all that it would", other.Name, other.Place)
		}
	}
	return ""
}

// subset tells whether all of some are among the others; a condition that is always true is.
func subset(some, others []expression.Conjunct) bool {
	for _, one := range some {
		if one.Text != "true" && !slices.ContainsFunc(others, func(o expression.Conjunct) bool { return o.Text == one.Text }) {
			return false
		}
	}
	return true
}

// budget reckons what the set costs at worst and refuses one that costs too much.
func (c *compiler) budget() {
	s := c.set
	worst := expression.Fixed(baseCost)
	for _, l := range s.lets { // each is evaluated once a request
		worst = worst.Plus(l.Cost)
	}
	for _, t := range s.tables {
		// A rule that faults while it sets is followed by others that may set, too.
		skips := slices.ContainsFunc(t.rules, func(r *Rule) bool { return r.Skip })
		var sets expression.Amount // of the one rule that matches
		if !skips {
			for _, r := range t.rules {
				sets = sets.Max(r.setCost())
			}
		}
		worst = worst.Plus(sets).Plus(t.worst(func(r *Rule) expression.Amount {
			cost := expression.Fixed(foundCost)
			if r.when != nil {
				cost = cost.Plus(r.when.Cost)
			}
			if skips {
				cost = cost.Plus(r.setCost())
			}
			return cost
		}))
	}
	for _, l := range s.limits {
		worst = worst.Plus(expression.Fixed(takeCost)).Plus(l.key.Cost)
		if l.when != nil {
			worst = worst.Plus(l.when.Cost)
		}
	}
	s.Cost = worst.WorstCase(s.Sizes.Headers)
	if s.Cost > s.budget {
		f := c.dearest()
		f.Message = fmt.Sprintf("the rules cost %d at worst, more than the budget of %d (reckoned nanoseconds a request); %s", s.Cost, s.budget, f.Message)
		c.faults = append(c.faults, f)
	}
}

// baseCost is what a request costs without any rule, in reckoned nanoseconds.
const baseCost = 500

func (r *Rule) setCost() (total expression.Amount) {
	for _, set := range r.sets {
		total = total.Plus(set.program.Cost)
	}
	return total
}

// dearest points at the expression that costs most.
func (c *compiler) dearest() (f configfile.Fault) {
	most := -1
	look := func(key string, p *expression.Program) {
		if p == nil {
			return
		}
		if worst := p.Cost.WorstCase(c.set.Sizes.Headers); worst > most {
			most = worst
			f = c.file.Fault(key, "most of it, %d, is here: %s", worst, expression.RestoreNames(p.CostliestTerm, c.set.letNames))
		}
	}
	for i, p := range c.set.lets {
		look(fmt.Sprintf("let[%d].is", i), p)
	}
	for i, r := range c.set.rules {
		key := fmt.Sprintf("rule[%d]", i)
		look(key+".when", r.when)
		for _, set := range r.sets {
			look(key+".set."+set.field.String(), set.program)
		}
	}
	for i, l := range c.set.limits {
		look(fmt.Sprintf("limit[%d].when", i), l.when)
		look(fmt.Sprintf("limit[%d].key", i), l.key)
	}
	return f
}
