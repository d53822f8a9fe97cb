// Package catalog relates described operations to the settings: which class the calls of an operation belong to, how
// far they may be retried, and how calls that no description has are handled. It decides this once, when descriptions
// load, and does no I/O.
package catalog

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"reachpulley/internal/contract"
	"reachpulley/scheduler"
)

// UndescribedName is the name under which the scheduler knows calls that no description has.
const UndescribedName = "undescribed"

// Catalog is all operations of the descriptions in force. It never changes.
type Catalog struct {
	Undescribed      Entry             // of calls that no description has
	GeneratedClasses []scheduler.Class // of operations that name no class; they follow those of the settings

	operations []*contract.Operation // all that the catalog was made of
	router     *contract.Router
	entries    map[*contract.Operation]*Entry
	ordered    []*Entry          // those of entries, in the order of the descriptions
	commands   map[string]*Entry // of the iSCSI frontend, by their channel
}

// New returns the catalog of operations in which contract.Check has found no faults. The faults are all contradictions
// to the settings.
func New(operations []*contract.Operation, settings scheduler.Settings) (*Catalog, contract.Faults) {
	c := &Catalog{
		Undescribed: Entry{
			Name:        UndescribedName,
			Class:       strictestClass(settings.Classes),
			RetryPolicy: scheduler.RetryPolicy{Idempotency: scheduler.NonIdempotent},
		},
		operations: operations,
		entries:    map[*contract.Operation]*Entry{},
		commands:   map[string]*Entry{},
	}
	classes := classAssigner{settings: settings, numbers: map[scheduler.Class]int{}}
	for _, operation := range operations {
		entry := newEntry(operation, c.Undescribed.Class)
		if operation.Method == "" {
			if isCommand(operation) {
				c.commands[operation.Channel] = entry
			}
			continue
		}
		classes.assign(entry)
		c.entries[operation] = entry
		c.ordered = append(c.ordered, entry)
	}
	c.GeneratedClasses = classes.generated
	faults := classes.faults
	if count := len(c.GeneratedClasses); count > maxGeneratedClasses {
		const message = "the descriptions make %d classes by aim, deadline, worth and repeats, more than %d: " +
			"name classes of the settings"
		faults = append(faults, contract.Fault{
			Position: operations[0].Position,
			Message:  fmt.Sprintf(message, count, maxGeneratedClasses),
		})
	}
	router, err := contract.NewRouter(operations)
	if err != nil {
		faults = append(faults, contract.Fault{Message: err.Error()})
	}
	c.router = router
	return c, faults
}

// Rebuild returns a catalog of the same operations for other settings.
func (c *Catalog) Rebuild(settings scheduler.Settings) (*Catalog, contract.Faults) {
	return New(c.operations, settings)
}

// Settings returns settings with the generated classes.
func (c *Catalog) Settings(settings scheduler.Settings) scheduler.Settings {
	settings.Classes = append(slices.Clip(settings.Classes), c.GeneratedClasses...)
	return settings
}

// Entries returns the operations that requests can be of, in the order of the descriptions.
func (c *Catalog) Entries() []*Entry { return c.ordered }

// Empty reports whether no request of any frontend can be of an operation.
func (c *Catalog) Empty() bool { return len(c.ordered) == 0 && len(c.commands) == 0 }

// Lookup returns the entry of a call, Undescribed if no description has it. The values of the parameters of its path
// are appended to values.
func (c *Catalog) Lookup(call *contract.Call, values []string) (*Entry, []string) {
	operation, values := c.router.Match(call, values)
	if operation == nil {
		return &c.Undescribed, values
	}
	return c.entries[operation], values
}

// The channels that describe commands of the iSCSI frontend have the addresses iscsi/LUN/read and iscsi/LUN/write. One
// with {lun} describes the units that have no channel of their own.
const (
	commandPrefix = "iscsi/"
	anyLUN        = "{lun}"
)

func isCommand(o *contract.Operation) bool {
	return o.Action == "receive" && strings.HasPrefix(o.Channel, commandPrefix)
}

// Command returns the entry of a READ or WRITE: nil if no command is described at all, and Undescribed if only others
// are.
func (c *Catalog) Command(lun int, write bool) *Entry {
	if len(c.commands) == 0 {
		return nil
	}
	action := "/read"
	if write {
		action = "/write"
	}
	for _, unit := range [...]string{strconv.Itoa(lun), anyLUN} {
		if entry := c.commands[commandPrefix+unit+action]; entry != nil {
			return entry
		}
	}
	return &c.Undescribed
}
