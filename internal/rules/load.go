package rules

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/configfile"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Load reads, checks and compiles the rule file at path. If the file is readable but faulty, the error is a
// configfile.Faults that lists the faults found. Expressions are checked only if every key of the file is known and has
// the right type, and the cost of the rules only if there is no other fault.
func Load(path string, settings scheduler.Settings) (*Set, error) {
	document, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return load(document, settings)
}

// Parse checks and compiles the text of a rule file as Load does. The path is only used to name the file.
func Parse(path string, text []byte, settings scheduler.Settings) (*Set, error) {
	document, err := configfile.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return load(document, settings)
}

// loader compiles a rule file into a Set and collects the file's faults.
type loader struct {
	document *configfile.Document
	file     ruleFile
	set      *Set
	scope    expression.Scope // what every expression of the file may use
	faults   configfile.Faults
}

func load(document *configfile.Document, settings scheduler.Settings) (*Set, error) {
	l := &loader{
		document: document,
		file: ruleFile{
			Version: fileVersion,
			Budget:  defaultBudget,
			OnFault: faultRejects,
			Sizes:   expression.DefaultSizes,
		},
		set: newSet(document, settings),
	}
	l.faults = document.Decode(&l.file)
	if len(l.faults) == 0 { // After a fault, a key of the wrong type would be reported again, as missing.
		l.loadHeader()
		l.loadLets()
		l.loadRules()
		l.loadLimits()
		l.loadTests()
	}
	if len(l.faults) == 0 {
		l.checkBudget()
	}
	return l.set, l.faults.Err()
}

// newSet returns a Set without rules, with the names of classes and plans from the settings.
func newSet(document *configfile.Document, settings scheduler.Settings) *Set {
	digest := xxhash.New()
	digest.Write(document.Text())
	set := &Set{
		Hash:     hex.EncodeToString(digest.Sum(nil)),
		Path:     document.Path,
		settings: settings,
		classes:  map[string]int{},
		plans:    map[string]int{},
	}
	for i, class := range settings.Classes {
		set.classes[class.Name] = i
	}
	for i, plan := range settings.Plans {
		set.plans[plan.Name] = i
	}
	return set
}

// addFault adds a fault at a key of the file. The message of the fault follows the key's name.
func (l *loader) addFault(key, format string, args ...any) {
	l.faults = append(l.faults, l.document.Fault(key, format, args...))
}

// position returns the position of a key as FILE:LINE.
func (l *loader) position(key string) string { return l.document.Fault(key, "").Position() }

// loadHeader checks and stores the settings that hold for the whole file. It also checks the numbers of rules and of
// named expressions.
func (l *loader) loadHeader() {
	file := &l.file
	if file.Version != fileVersion {
		l.addFault("version", "%d is not supported; this program reads version %d", file.Version, fileVersion)
	}
	if file.Budget < 1 || file.Budget > maxBudget {
		l.addFault("budget", "%d is not between 1 and %d estimated nanoseconds a request", file.Budget, maxBudget)
	}
	l.checkOnFault("on_fault", file.OnFault)
	l.checkSize("sizes.headers", file.Sizes.Headers)
	l.checkSize("sizes.path", file.Sizes.Path)
	l.checkSize("sizes.query", file.Sizes.Query)
	for _, name := range slices.Sorted(maps.Keys(file.Const)) {
		l.checkConstant(name, file.Const[name])
	}
	if len(file.Rule) > maxRules {
		l.addFault("rule", "%d rules exceed the limit of %d", len(file.Rule), maxRules)
	}
	if len(file.Let) > maxLets {
		l.addFault("let", "%d named expressions exceed the limit of %d", len(file.Let), maxLets)
	}
	l.set.Sizes = file.Sizes
	l.set.seed = file.Seed
	l.set.budget = file.Budget
	l.scope = expression.Scope{
		Sizes:     file.Sizes,
		Constants: file.Const,
		Lets:      map[string]*expression.Program{},
		LetIndex:  map[string]int{},
	}
}

// checkOnFault adds a fault unless the value of on_fault at a key is "refuse" (faultRejects) or "skip" (faultSkips).
func (l *loader) checkOnFault(key, value string) {
	if value != faultRejects && value != faultSkips {
		l.addFault(key, "%q is neither %q nor %q", value, faultRejects, faultSkips)
	}
}

// checkSize adds a fault unless a declared size, in bytes, is between minSize and maxSize.
func (l *loader) checkSize(key string, size int) {
	if size < minSize || size > maxSize {
		l.addFault(key, "%d bytes is not between %d and %d bytes", size, minSize, maxSize)
	}
}

// checkConstant adds a fault unless a constant is a string, a number, a boolean or a list of strings.
func (l *loader) checkConstant(name string, value any) {
	switch v := value.(type) {
	case string, bool, int64, float64:
		return
	case []any:
		isOther := func(element any) bool {
			_, ok := element.(string)
			return !ok
		}
		if !slices.ContainsFunc(v, isOther) {
			return
		}
	}
	l.addFault("const."+name, "a constant must be a string, a number, true, false or a list of strings")
}

// loadLets compiles the named expressions. Each may use those before it.
func (l *loader) loadLets() {
	for i, entry := range l.file.Let {
		key := fmt.Sprintf("let[%d]", i)
		if !isIdentifier(entry.Name) || slices.Contains(expression.Names(), entry.Name) {
			const message = "%q is not an identifier of up to %d letters, digits and _, or it is a word of the language"
			l.addFault(key+".name", message, entry.Name, maxIdentifierBytes)
			continue
		}
		if _, taken := l.file.Const[entry.Name]; taken || l.scope.Lets[entry.Name] != nil {
			l.addFault(key+".name", "%q is already defined", entry.Name)
			continue
		}
		types := []expression.Type{expression.String, expression.Int, expression.Bool}
		program := l.compile(key+".is", entry.Expression, l.scope, types...)
		if program == nil {
			continue
		}
		l.scope.Lets[entry.Name] = program
		l.scope.LetIndex[entry.Name] = len(l.set.lets)
		l.set.lets = append(l.set.lets, program)
		l.set.letNames = append(l.set.letNames, entry.Name)
	}
}

// isIdentifier reports whether a text consists of up to maxIdentifierBytes letters, digits and _, and does not begin
// with a digit.
func isIdentifier(text string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_"
	const digits = "0123456789"
	if text == "" || len(text) > maxIdentifierBytes {
		return false
	}
	return strings.Trim(text, letters+digits) == "" && !strings.ContainsAny(text[:1], digits)
}

// skipsOnFault reports whether a fault skips the rule or limit at a key, given its own value of on_fault. If that is
// empty, the value of the whole file applies. If it is invalid, skipsOnFault adds a fault.
func (l *loader) skipsOnFault(key, value string) bool {
	if value == "" {
		return l.file.OnFault == faultSkips
	}
	l.checkOnFault(key+".on_fault", value)
	return value == faultSkips
}

// compileCondition compiles the condition of the rule or limit at a key and stores it in r. An empty source means
// no condition.
func (l *loader) compileCondition(key, source string, scope expression.Scope, r *Rule) {
	if source == "" {
		return
	}
	scope.Condition = true
	r.condition = l.compile(key+".when", source, scope, expression.Bool)
	if r.condition != nil {
		r.conjuncts = r.condition.Conjuncts()
	}
}

// compile compiles the expression at a key. It returns nil and adds a fault if the expression is faulty.
func (l *loader) compile(
	key, source string, scope expression.Scope, wanted ...expression.Type,
) *expression.Program {
	program, err := expression.Compile(source, scope, wanted...)
	if err == nil {
		return program
	}
	var sourceErr *expression.SourceError
	if !errors.As(err, &sourceErr) {
		l.addFault(key, "%v", err)
		return nil
	}
	suggestion := l.suggestName(sourceErr.UnknownName())
	fault := l.document.FaultWithin(key, sourceErr.Offset, "%s%s", sourceErr.Message, suggestion)
	l.faults = append(l.faults, fault)
	return nil
}

// suggestName returns a suggestion of the known name that is nearest to an unknown one; empty if there is none.
func (l *loader) suggestName(unknown string) string {
	if unknown == "" {
		return ""
	}
	lets := slices.Collect(maps.Keys(l.scope.Lets))
	constants := slices.Collect(maps.Keys(l.scope.Constants))
	names := slices.Concat(expression.Names(), lets, constants)
	slices.Sort(names)
	return configfile.DidYouMean(unknown, names)
}
