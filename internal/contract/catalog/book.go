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

// MostMade bounds the classes that descriptions may make: what is learned of a class needs requests of it.
const MostMade = 64

// Entry is an operation in the terms of the settings.
type Entry struct {
	Op    *contract.Operation // nil: nothing describes the call
	Name  string              // by which the decisions know the operation; the same over reloads
	Class int                 // the class of its calls, where neither they nor a rule say
	Bound scheduler.Bound     // what it allows, whatever the class
}

// Book is all operations. It never changes.
type Book struct {
	Undescribed Entry             // of calls that nothing describes
	Made        []scheduler.Class // by descriptions that name no class but aim and deadline; they follow those of the settings

	described []*contract.Operation // all that it was made of
	router    *contract.Router
	entries   map[*contract.Operation]*Entry
	all       []*Entry
	commands  map[string]*Entry // of the second front, by their channel
}

// UndescribedName is what the decisions call what nothing describes.
const UndescribedName = "undescribed"

var groups = map[contract.Group]scheduler.Group{contract.All: scheduler.GroupAll, contract.Room: scheduler.GroupZone, contract.Rack: scheduler.GroupShard}

var repeats = map[contract.Repeats]scheduler.Repeats{contract.Safe: scheduler.Safe, contract.Keyed: scheduler.Keyed, contract.Unsafe: scheduler.Unsafe}

// New makes a Book of operations that contract.Check has found nothing wrong with. All contradictions to the settings come at once.
func New(all []*contract.Operation, settings scheduler.Settings) (*Book, contract.Faults) {
	b := &Book{described: all, entries: map[*contract.Operation]*Entry{}, commands: map[string]*Entry{}, Undescribed: Entry{Name: UndescribedName, Class: Strictest(settings.Classes),
		Bound: scheduler.Bound{Repeats: scheduler.Unsafe}}}
	var faults contract.Faults
	made := map[scheduler.Class]int{}
	for _, o := range all {
		e := &Entry{Op: o, Name: o.Call(), Class: b.Undescribed.Class,
			Bound: scheduler.Bound{Repeats: repeats[o.Repeats]}}
		if o.Repeats == contract.Keyed {
			e.Bound.Group, e.Bound.For = groups[o.KeyGroup], o.KeyFor
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
				faults = append(faults, contract.Fault{Place: o.Place, Message: message})
			}
		case o.Aim > 0 && o.Deadline > 0:
			c := classOf(o, e.Bound, settings.Classes)
			number, known := made[c]
			if !known {
				number = len(settings.Classes) + len(b.Made)
				made[c] = number
				b.Made = append(b.Made, c)
			}
			e.Class = number
		}
		b.entries[o], b.all = e, append(b.all, e)
	}
	if len(b.Made) > MostMade {
		faults = append(faults, contract.Fault{Place: all[0].Place, Message: fmt.Sprintf(
			"the descriptions make %d classes by aim, deadline, worth and repeats, and %d may be: name classes of the settings", len(b.Made), MostMade)})
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
		if cmp.Or(cmp.Compare(c.Repeats, classes[best].Repeats), writes(c)-writes(classes[best]), cmp.Compare(classes[best].Deadline, c.Deadline)) > 0 {
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
	words := map[scheduler.Repeats]contract.Repeats{scheduler.Safe: contract.Safe, scheduler.Keyed: contract.Keyed, scheduler.Unsafe: contract.Unsafe}
	switch {
	case e.Bound.Repeats < c.Repeats:
		add("it is called %s, and its class %q is %s", o.Repeats, c.Name, words[c.Repeats])
	case e.Bound.Repeats == scheduler.Keyed && c.Repeats == scheduler.Keyed:
		if e.Bound.For > c.RepeatFor {
			add("its key is called known for %v, and in its class %q it is for %v", e.Bound.For, c.Name, c.RepeatFor)
		}
		if e.Bound.Narrowed(c.Bound()).Group != e.Bound.Group {
			add("its repeats are said to be discarded by more nodes than in its class %q", c.Name)
		}
	}
	if o.Deadline > c.Deadline {
		add("its deadline, %v, is longer than that of its class %q, %v", o.Deadline, c.Name, c.Deadline)
	}
	if e.Bound.Repeats != scheduler.Safe && o.Method != http.MethodGet && o.Method != http.MethodHead && !c.Writes {
		add("its class %q only reads, and %s that is not safe writes", c.Name, o.Method)
	}
	return out
}

// classOf makes a class of what a description says.
func classOf(o *contract.Operation, bound scheduler.Bound, known []scheduler.Class) scheduler.Class {
	c := scheduler.Class{Aim: o.Aim, Deadline: o.Deadline, Worth: cmp.Or(o.Worth, 1), Repeats: bound.Repeats, RepeatGroup: bound.Group, RepeatFor: bound.For,
		Writes: o.Method != http.MethodGet && o.Method != http.MethodHead}
	for i, k := range known { // late answers earn no more than in any class that the settings have
		if i == 0 || k.LateShare < c.LateShare {
			c.LateShare = k.LateShare
		}
	}
	c.Name = fmt.Sprintf("described %s %v %v %v", o.Repeats, c.Aim, c.Deadline, c.Worth)
	if c.RepeatFor > 0 {
		c.Name += fmt.Sprintf(" %s %v", o.KeyGroup, c.RepeatFor)
	}
	if c.Writes {
		c.Name += " writes"
	}
	return c
}

// Again makes the Book anew, for other settings.
func (b *Book) Again(settings scheduler.Settings) (*Book, contract.Faults) {
	return New(b.described, settings)
}

// Settings are settings with the classes that descriptions make.
func (b *Book) Settings(s scheduler.Settings) scheduler.Settings {
	s.Classes = append(slices.Clip(s.Classes), b.Made...)
	return s
}

// Entries are the operations that requests can be of, in the order of the descriptions.
func (b *Book) Entries() []*Entry { return b.all }

// Find gives a call's entry and the values of its path's parameters, added to values; the entry of what nothing describes where no operation is.
func (b *Book) Find(c *contract.Call, values []string) (*Entry, []string) {
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
func (b *Book) Command(lun int, write bool) *Entry {
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
func (b *Book) Empty() bool { return len(b.all) == 0 && len(b.commands) == 0 }

// Parameters is how many parameters a path has at most.
func (b *Book) Parameters() int { return b.router.Most() }

// Reading is httpmsg.Described.
func (e *Entry) Reading(status int) httpmsg.Reading {
	if e.Op == nil {
		return httpmsg.Unsaid
	}
	switch e.Op.Meaning(status) {
	case contract.Served, contract.Failed:
		return httpmsg.ForClient
	case contract.Refused:
		return httpmsg.NeverRan
	case contract.MayHaveRun:
		return httpmsg.MayHaveRun
	}
	return httpmsg.Unsaid
}

// Key gives the key of a call; "" where the operation has none, or the call lacks it.
func (e *Entry) Key(c *contract.Call, parameters []string) string {
	if e.Op == nil || e.Op.Repeats != contract.Keyed {
		return ""
	}
	return e.Op.Value(c, parameters, e.Op.Key)
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

// Place is what an operation says of where a call's data is, and how much work it is.
type Place struct {
	Volume, Data string  // empty: not said
	Units        float64 // 0: not said
	Shard        int     // where HasShard
	HasShard     bool
}

// Place gives what the operation says of a call with a body of so many bytes. The error names what the call lacks.
func (e *Entry) Place(c *contract.Call, parameters []string, length int, most float64) (p Place, err error) {
	o := e.Op
	if o == nil {
		return p, nil
	}
	for _, one := range []struct {
		what string
		at   contract.Where
		into *string
	}{{"volume", o.Volume, &p.Volume}, {"data", o.Data, &p.Data}} {
		if one.at.In == "" {
			continue
		}
		text := o.Value(c, parameters, one.at)
		if text == "" {
			return p, fmt.Errorf("%s: its %s is wanted once in %v", o.Call(), one.what, one.at)
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
	case o.Shard.Where.In != "":
		text := o.Value(c, parameters, o.Shard.Where)
		if p.Shard, err = strconv.Atoi(text); err != nil || p.Shard < scheduler.AnyShard {
			return p, fmt.Errorf("%s: %v: %q is no shard", o.Call(), o.Shard.Where, text)
		}
		p.HasShard = true
	}
	return p, nil
}

// Deadline is after what time nobody waits for a call's answer; 0: nothing is said.
func (e *Entry) Deadline() time.Duration {
	if e.Op == nil {
		return 0
	}
	return e.Op.Deadline
}
