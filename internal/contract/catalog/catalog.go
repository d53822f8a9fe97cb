// Package catalog relates described operations to the settings. It determines the class and the retry policy of the
// calls of each operation and of undescribed calls, those that match no described operation. It does so once, when the
// descriptions are loaded, and does no I/O.
package catalog

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"reachpulley/internal/contract"
	"reachpulley/scheduler"
)

// UndescribedName is the operation name of undescribed calls in the scheduler.
const UndescribedName = "undescribed"

// Catalog holds all operations of a set of descriptions. It is immutable.
type Catalog struct {
	Undescribed      Entry             // entry of the calls that match no operation
	GeneratedClasses []scheduler.Class // for operations that name no class; numbered after the classes of the settings

	operations []*contract.Operation // the operations that New was called with
	router     *contract.Router
	entries    map[*contract.Operation]*Entry
	ordered    []*Entry          // the values of entries, in the order of the descriptions
	commands   map[string]*Entry // commands of the iSCSI frontend, by channel
}

// New returns a catalog of operations in which contract.Check has found no faults. The returned faults are those by
// which the descriptions contradict the settings.
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
		const message = "the descriptions generate %d classes by aim, deadline, worth and repeats, more than %d: " +
			"name classes of the settings instead"
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

// WithGeneratedClasses returns the settings with the generated classes appended.
func (c *Catalog) WithGeneratedClasses(settings scheduler.Settings) scheduler.Settings {
	settings.Classes = append(slices.Clip(settings.Classes), c.GeneratedClasses...)
	return settings
}

// Entries returns the entries of the operations that HTTP requests can call, in the order of the descriptions.
func (c *Catalog) Entries() []*Entry { return c.ordered }

// Empty reports whether the catalog has neither operations for HTTP requests nor commands for the iSCSI frontend.
func (c *Catalog) Empty() bool { return len(c.ordered) == 0 && len(c.commands) == 0 }

// Lookup returns the entry of a call; Undescribed if it matches no operation. It appends the values of the path
// parameters to values.
func (c *Catalog) Lookup(call *contract.Call, values []string) (*Entry, []string) {
	operation, values := c.router.Match(call, values)
	if operation == nil {
		return &c.Undescribed, values
	}
	return c.entries[operation], values
}

// Channels with the addresses iscsi/LUN/read and iscsi/LUN/write describe commands of the iSCSI frontend. The address
// with the literal {lun} applies to all logical units without a channel of their own.
const (
	commandPrefix = "iscsi/"
	anyLUN        = "{lun}"
)

// isCommand reports whether an operation describes a command of the iSCSI frontend.
func isCommand(o *contract.Operation) bool {
	return o.Action == "receive" && strings.HasPrefix(o.Channel, commandPrefix)
}

// Command returns the entry of a READ or WRITE command. It returns nil if the descriptions have no commands at all, and
// Undescribed if they describe only other commands.
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
