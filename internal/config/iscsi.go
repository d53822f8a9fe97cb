package config

import (
	"cmp"

	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/scheduler"
)

// Defaults and bounds of the table [iscsi].
const (
	defaultSessions  = 32
	defaultDepth     = 64 // outstanding commands
	defaultHosts     = 1
	defaultBlockSize = 512  // bytes
	defaultUnitBytes = 8192 // bytes that count as one unit of size

	maxSessions  = 256
	maxDepth     = 1024 // outstanding commands
	maxLUN       = 1<<14 - 1
	maxBlockSize = 32 << 10 // bytes

	sectorSize   = 512 // bytes; the block size is a multiple of it
	volumeDigits = 16  // hex digits of a volume's ID
)

// ISCSI is the table [iscsi]: the frontend for block storage.
type ISCSI struct {
	Listen      string        `toml:"listen"`
	Enabled     bool          `toml:"enabled"`
	Target      string        `toml:"target"`      // name under which clients log in
	Sessions    int           `toml:"sessions"`    // maximum number of concurrent sessions
	Depth       int           `toml:"depth"`       // maximum number of outstanding commands in a session
	Nodes       string        `toml:"nodes"`       // protocol of the storage nodes: NodesHTTP or NodesISCSI
	Description string        `toml:"description"` // for NodesHTTP: path of the description of the operations
	NodeTarget  string        `toml:"node_target"` // for NodesISCSI: name of the nodes' target
	UnitTables  []logicalUnit `toml:"unit"`

	// Units are the UnitTables with defaults filled in, and with the names of plans and classes replaced by their
	// indexes in the settings.
	Units []iscsitarget.Unit `toml:"-"`
}

// logicalUnit is a table [[iscsi.unit]].
type logicalUnit struct {
	LUN        int    `toml:"lun"`
	Volume     string `toml:"volume"`
	Plan       string `toml:"plan"`
	ReadClass  string `toml:"read_class"`
	WriteClass string `toml:"write_class"`
	Shard      int    `toml:"shard"`
	Hosts      int    `toml:"hosts"`
	BlockSize  int    `toml:"block_size"`
	Blocks     int64  `toml:"blocks"`
	UnitBytes  int    `toml:"unit_bytes"`
}

// Protocols of the nodes behind the iSCSI frontend.
const (
	NodesHTTP  = "http"
	NodesISCSI = "iscsi"
)

var defaultISCSI = ISCSI{Sessions: defaultSessions, Depth: defaultDepth, Nodes: NodesHTTP}

// validate checks the table and converts its units.
func (f *ISCSI) validate(v tableValidator, settings scheduler.Settings) {
	v.requireAddress("listen", f.Listen)
	v.require(f.Target != "", "target", "is missing")
	v.requireRange("sessions", f.Sessions, 1, maxSessions)
	v.requireRange("depth", f.Depth, 1, maxDepth)
	v.require(f.Nodes != NodesHTTP || f.Description != "", "description", "is missing")
	v.require(f.Nodes != NodesISCSI || f.NodeTarget != "", "node_target", "is missing")
	v.require(f.Nodes == NodesHTTP || f.Nodes == NodesISCSI, "nodes",
		"%q is neither %s nor %s", f.Nodes, NodesHTTP, NodesISCSI)
	v.require(len(f.UnitTables) > 0, "unit", "no unit is configured")
	seen := map[int]bool{}
	for i, u := range f.UnitTables {
		element := v.element("unit", i)
		f.Units = append(f.Units, u.validate(element, settings))
		element.require(!seen[u.LUN], "lun", "%d is the LUN of another unit, too", u.LUN)
		seen[u.LUN] = true
	}
}

// validate checks the unit and returns it with defaults filled in, and with the names of its plan and classes replaced
// by their indexes in the settings.
func (u logicalUnit) validate(v tableValidator, settings scheduler.Settings) iscsitarget.Unit {
	v.requireRange("lun", u.LUN, 0, maxLUN)
	v.require(len(u.Volume) == volumeDigits, "volume", "%q is not %d hex digits", u.Volume, volumeDigits)
	converted := iscsitarget.Unit{
		LUN:        uint16(u.LUN),
		Volume:     u.Volume,
		Plan:       v.requirePlan("plan", u.Plan, settings),
		ReadClass:  v.requireClass("read_class", u.ReadClass, settings),
		WriteClass: v.requireClass("write_class", u.WriteClass, settings),
		Shard:      u.Shard,
		Hosts:      cmp.Or(u.Hosts, defaultHosts),
		BlockSize:  uint32(cmp.Or(u.BlockSize, defaultBlockSize)),
		Blocks:     uint64(u.Blocks),
		UnitBytes:  cmp.Or(u.UnitBytes, defaultUnitBytes),
	}
	u.validateClasses(v, converted, settings.Classes)
	v.require(u.Shard >= 0, "shard", "%d is below 0", u.Shard)
	v.require(converted.Hosts >= 1, "hosts", "%d is below 1", u.Hosts)
	isBlockSize := u.BlockSize >= 0 && converted.BlockSize%sectorSize == 0 && converted.BlockSize <= maxBlockSize
	v.require(isBlockSize, "block_size", "%d is not a multiple of %d up to %d", u.BlockSize, sectorSize, maxBlockSize)
	v.require(u.Blocks >= 1, "blocks", "%d is below 1", u.Blocks)
	v.require(converted.UnitBytes >= 1, "unit_bytes", "%d is below 1", u.UnitBytes)
	return converted
}

// validateClasses rejects a read_class whose requests write, as reads would then be scheduled as writes, and a
// write_class whose requests do not write, as writes would then be scheduled as reads.
func (u logicalUnit) validateClasses(v tableValidator, converted iscsitarget.Unit, classes []scheduler.Class) {
	if converted.ReadClass >= 0 {
		v.require(!classes[converted.ReadClass].Writes, "read_class", "class %q writes", u.ReadClass)
	}
	if converted.WriteClass >= 0 {
		v.require(classes[converted.WriteClass].Writes, "write_class", "class %q does not write", u.WriteClass)
	}
}
