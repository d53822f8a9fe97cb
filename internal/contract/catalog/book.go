// Package catalog holds descriptions against the settings: which class each operation's calls belong to, how far they may be repeated, and what
// is done with calls that nothing describes. It decides this once, when descriptions load, and does no I/O.
package catalog

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/contract"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// MaxGeneratedClasses bounds the classes that descriptions may make: what is learned of a class needs requests of it.
const MaxGeneratedClasses = 64

// Entry is an operation in the terms of the settings.
type Entry struct {
	Operation   *contract.Operation   // nil: nothing describes the call
	Name        string                // by which the decisions know the operation; the same over reloads
	Class       int                   // the class of its calls, where neither they nor a rule say
	RetryPolicy scheduler.RetryPolicy // what it allows, whatever the class
}

// Catalog is all operations. It never changes.
type Catalog struct {
	Undescribed      Entry             // of calls that nothing describes
	GeneratedClasses []scheduler.Class // by descriptions that name no class but aim and deadline; they follow those of the settings

	described []*contract.Operation // all that it was made of
	router    *contract.Router
	entries   map[*contract.Operation]*Entry
	all       []*Entry
	commands  map[string]*Entry // of the second front, by their channel
}

// UndescribedName is what the decisions call what nothing describes.
const UndescribedName = "undescribed"

var groups = map[contract.DedupScope]scheduler.DedupScope{contract.ScopeAll: scheduler.ScopeAll, contract.ScopeZone: scheduler.ScopeZone, contract.ScopeShard: scheduler.ScopeShard}

var repeats = map[contract.Idempotency]scheduler.Idempotency{contract.Idempotent: scheduler.Idempotent, contract.IdempotentWithKey: scheduler.IdempotentWithKey, contract.NonIdempotent: scheduler.NonIdempotent}

// New makes a Book of operations that contract.Check has found nothing wrong with. All contradictions to the settings come at once.
func New(all []*contract.Operation, settings scheduler.Settings) (*Catalog, contract.Faults) {
	b := &Catalog{described: all, entries: map[*contract.Operation]*Entry{}, commands: map[string]*Entry{}, Undescribed: Entry{Name: UndescribedName, Class: Strictest(settings.Classes),
		RetryPolicy: scheduler.RetryPolicy{Idempotency: scheduler.NonIdempotent}}}
	var faults contract.Faults
	made := map[scheduler.Class]int{}
	for _, o := range all {
		e := &Entry{Operation: o, Name: o.Signature(), Class: b.Undescribed.Class,
			RetryPolicy: scheduler.RetryPolicy{Idempotency: repeats[o.Idempotency]}}
		if o.Idempotency == contract.IdempotentWithKey {
			e.RetryPolicy.Scope, e.RetryPolicy.Window = groups[o.DedupScope], o.DedupWindow
		}
		if o.Method == "" {
			if o.Action == "receive" && strings.HasPrefix(o.Channel, commandPrefix) {
				b.commands[o.Channel] = e
			}
			continue
		}
		switch {
		case o.Class != "":
			e.Class = slices.IndexFunc(settings.Classes, func(c scheduler.Class) bool { return c.Name == o.Class })
			for _, message := range contradictions(o, e, settings) {
				faults = append(faults, contract.Fault{Position: o.Position, Message: message})
			}
		case o.LatencyObjective > 0 && o.Deadline > 0:
			c := classOf(o, e.RetryPolicy, settings.Classes)
			number, known := made[c]
			if !known {
				number = len(settings.Classes) + len(b.GeneratedClasses)
				made[c] = number
				b.GeneratedClasses = append(b.GeneratedClasses, c)
			}
			e.Class = number
		}
		b.entries[o], b.all = e, append(b.all, e)
	}
	if len(b.GeneratedClasses) > MaxGeneratedClasses {
		faults = append(faults, contract.Fault{Position: all[0].Position, Message: fmt.Sprintf(
			"the descriptions make %d classes by aim, deadline, worth and repeats, and %d may be: name classes of the settings", len(b.GeneratedClasses), MaxGeneratedClasses)})
	}
	router, err := contract.NewRouter(all)
	if err != nil {
		faults = append(faults, contract.Fault{Message: err.Error()})
	}
	b.router = router
	return b, faults
}

// Strictest is the class that allows least: of those that allow the fewest repeats, one that writes, and then the one that is waited for least.
func Strictest(classes []scheduler.Class) int {
	best := 0
	for i, c := range classes {
		writes := func(c scheduler.Class) int {
			if c.Writes {
				return 1
			}
			return 0
		}
		if cmp.Or(cmp.Compare(c.Idempotency, classes[best].Idempotency), writes(c)-writes(classes[best]), cmp.Compare(classes[best].Deadline, c.Deadline)) > 0 {
			best = i
		}
	}
	return best
}

// contradictions tells where a description allows what the class that it names does not. Less is no contradiction.
func contradictions(o *contract.Operation, e *Entry, settings scheduler.Settings) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if e.Class < 0 {
		e.Class = 0
		add("the settings have no class %q", o.Class)
		return out
	}
	c := settings.Classes[e.Class]
	words := map[scheduler.Idempotency]contract.Idempotency{scheduler.Idempotent: contract.Idempotent, scheduler.IdempotentWithKey: contract.IdempotentWithKey, scheduler.NonIdempotent: contract.NonIdempotent}
	switch {
	case e.RetryPolicy.Idempotency < c.Idempotency:
		add("it is called %s, and its class %q is %s", o.Idempotency, c.Name, words[c.Idempotency])
	case e.RetryPolicy.Idempotency == scheduler.IdempotentWithKey && c.Idempotency == scheduler.IdempotentWithKey:
		if e.RetryPolicy.Window > c.DedupWindow {
			add("its key is called known for %v, and in its class %q it is for %v", e.RetryPolicy.Window, c.Name, c.DedupWindow)
		}
		if e.RetryPolicy.NarrowedBy(c.RetryPolicy()).Scope != e.RetryPolicy.Scope {
			add("its repeats are said to be discarded by more nodes than in its class %q", c.Name)
		}
	}
	if o.Deadline > c.Deadline {
		add("its deadline, %v, is longer than that of its class %q, %v", o.Deadline, c.Name, c.Deadline)
	}
	if e.RetryPolicy.Idempotency != scheduler.Idempotent && o.Method != http.MethodGet && o.Method != http.MethodHead && !c.Writes {
		add("its class %q only reads, and %s that is not safe writes", c.Name, o.Method)
	}
	return out
}

// classOf makes a class of what a description says.
func classOf(o *contract.Operation, bound scheduler.RetryPolicy, known []scheduler.Class) scheduler.Class {
	c := scheduler.Class{LatencyObjective: o.LatencyObjective, Deadline: o.Deadline, PriorityWeight: cmp.Or(o.PriorityWeight, 1), Idempotency: bound.Idempotency, DedupScope: bound.Scope, DedupWindow: bound.Window,
		Writes: o.Method != http.MethodGet && o.Method != http.MethodHead}
	for i, k := range known { // late answers earn no more than in any class that the settings have
		if i == 0 || k.LateWeightShare < c.LateWeightShare {
			c.LateWeightShare = k.LateWeightShare
		}
	}
	c.Name = fmt.Sprintf("described %s %v %v %v", o.Idempotency, c.LatencyObjective, c.Deadline, c.PriorityWeight)
	if c.DedupWindow > 0 {
		c.Name += fmt.Sprintf(" %s %v", o.DedupScope, c.DedupWindow)
	}
	if c.Writes {
		c.Name += " writes"
	}
	return c
}

// Rebuild makes the Book anew, for other settings.
func (b *Catalog) Rebuild(settings scheduler.Settings) (*Catalog, contract.Faults) {
	return New(b.described, settings)
}

// Settings are settings with the classes that descriptions make.
func (b *Catalog) Settings(s scheduler.Settings) scheduler.Settings {
	s.Classes = append(slices.Clip(s.Classes), b.GeneratedClasses...)
	return s
}

// Entries are the operations that requests can be of, in the order of the descriptions.
func (b *Catalog) Entries() []*Entry { return b.all }

// Lookup gives a call's entry and the values of its path's parameters, added to values; the entry of what nothing describes where no operation is.
func (b *Catalog) Lookup(c *contract.Call, values []string) (*Entry, []string) {
	o, values := b.router.Match(c, values)
	if o == nil {
		return &b.Undescribed, values
	}
	return b.entries[o], values
}

// commandPrefix begins the addresses of the channels that describe commands of the second front, "iscsi/LUN/read" and "iscsi/LUN/write", or with
// {lun} for all that have none of their own.
const commandPrefix = "iscsi/"

// Command gives what descriptions say of a READ or WRITE; nil where they say nothing of the second front at all, and the entry of what nothing
// describes where they say something of other commands only.
func (b *Catalog) Command(lun int, write bool) *Entry {
	if len(b.commands) == 0 {
		return nil
	}
	action := "/read"
	if write {
		action = "/write"
	}
	for _, address := range [...]string{commandPrefix + strconv.Itoa(lun) + action, commandPrefix + "{lun}" + action} {
		if e := b.commands[address]; e != nil {
			return e
		}
	}
	return &b.Undescribed
}

// Empty tells whether no request of any front can be of an operation.
func (b *Catalog) Empty() bool { return len(b.all) == 0 && len(b.commands) == 0 }

// Parameters is how many parameters a path has at most.
func (b *Catalog) Parameters() int { return b.router.MaxParameters() }

// StatusMeaning is httpmsg.StatusInterpreter.
func (e *Entry) StatusMeaning(status int) httpmsg.StatusMeaning {
	if e.Operation == nil {
		return httpmsg.Undescribed
	}
	switch e.Operation.Meaning(status) {
	case contract.Served, contract.Failed:
		return httpmsg.FinalAnswer
	case contract.Rejected:
		return httpmsg.NeverRan
	case contract.MayHaveRun:
		return httpmsg.MayHaveRun
	}
	return httpmsg.Undescribed
}

// Key gives the key of a call; "" where the operation has none, or the call lacks it.
func (e *Entry) Key(c *contract.Call, parameters []string) string {
	if e.Operation == nil || e.Operation.Idempotency != contract.IdempotentWithKey {
		return ""
	}
	return e.Operation.Value(c, parameters, e.Operation.Key)
}

// Name16 gives a name as the platform has them: 16 hex digits, which stay what they are where it is of them already.
func Name16(text string) string {
	if len(text) == 16 {
		if _, err := strconv.ParseUint(text, 16, 64); err == nil {
			return text
		}
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// Placement is what an operation says of where a call's data is, and how much work it is.
type Placement struct {
	Volume, Data string  // empty: not said
	Units        float64 // 0: not said
	Shard        int     // where HasShard
	HasShard     bool
}

// Placement gives what the operation says of a call with a body of so many bytes. The error names what the call lacks.
func (e *Entry) Placement(c *contract.Call, parameters []string, length int, most float64) (p Placement, err error) {
	o := e.Operation
	if o == nil {
		return p, nil
	}
	for _, one := range []struct {
		what string
		at   contract.Location
		into *string
	}{{"volume", o.Volume, &p.Volume}, {"data", o.Data, &p.Data}} {
		if one.at.In == "" {
			continue
		}
		text := o.Value(c, parameters, one.at)
		if text == "" {
			return p, fmt.Errorf("%s: its %s is wanted once in %v", o.Signature(), one.what, one.at)
		}
		*one.into = Name16(text)
	}
	switch {
	case o.Units > 0:
		p.Units = o.Units
	case o.UnitBytes > 0:
		p.Units = float64(max(1, (length+o.UnitBytes-1)/o.UnitBytes))
		if most > 0 {
			p.Units = min(p.Units, most)
		}
	}
	switch {
	case o.Shard.Any:
		p.Shard, p.HasShard = scheduler.AnyShard, true
	case o.Shard.Fixed:
		p.Shard, p.HasShard = o.Shard.Number, true
	case o.Shard.Location.In != "":
		text := o.Value(c, parameters, o.Shard.Location)
		if p.Shard, err = strconv.Atoi(text); err != nil || p.Shard < scheduler.AnyShard {
			return p, fmt.Errorf("%s: %v: %q is no shard", o.Signature(), o.Shard.Location, text)
		}
		p.HasShard = true
	}
	return p, nil
}

// Deadline is after what time nobody waits for a call's answer; 0: nothing is said.
func (e *Entry) Deadline() time.Duration {
	if e.Operation == nil {
		return 0
	}
	return e.Operation.Deadline
}
