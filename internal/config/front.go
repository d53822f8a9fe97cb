package config

import (
	"cmp"
	"fmt"
	"slices"

	"reachpulley/internal/configfile"
	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/scheduler"
)

// What holds where the table is silent.
const (
	defaultSessions  = 32
	defaultDepth     = 64
	defaultBlockSize = 512
	defaultUnitBytes = 8192
	mostSessions     = 256
	mostDepth        = 1024
	mostLUN          = 1<<14 - 1
	mostBlockSize    = 32 << 10
)

// ISCSI is the table [iscsi], the second front's configuration.
type ISCSI struct {
	Listen      string             `toml:"listen"`
	Enabled     bool               `toml:"enabled"`
	Target      string             `toml:"target"`
	Sessions    int                `toml:"sessions"`
	Depth       int                `toml:"depth"`
	Nodes       string             `toml:"nodes"`
	Description string             `toml:"description"`
	NodeTarget  string             `toml:"node_target"`
	UnitList    []unit             `toml:"unit"`
	Units       []iscsitarget.Unit `toml:"-"` // the list in the terms of the settings
}

type unit struct {
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

// Kinds of nodes behind the second front.
const (
	NodesHTTP  = "http"
	NodesISCSI = "iscsi"
)

// checker gathers the faults of a table.
type checker struct {
	file   *configfile.Document
	table  string
	faults *configfile.Faults
}

// unless notes a fault at a key of the table where good does not hold.
func (c checker) unless(good bool, key, format string, args ...any) {
	if !good {
		*c.faults = append(*c.faults, c.file.Fault(c.table+"."+key, format, args...))
	}
}

// address notes a fault where text is not HOST:PORT.
func (c checker) address(key, text string) {
	if err := hostPort(text); err != nil {
		c.unless(false, key, "%v", err)
	}
}

func (f *ISCSI) check(c checker, settings scheduler.Settings) {
	c.address("listen", f.Listen)
	c.unless(f.Target != "", "target", "is missing")
	c.unless(f.Sessions >= 1 && f.Sessions <= mostSessions, "sessions", "%d is not from 1 to %d", f.Sessions, mostSessions)
	c.unless(f.Depth >= 1 && f.Depth <= mostDepth, "depth", "%d is not from 1 to %d", f.Depth, mostDepth)
	c.unless(f.Nodes != NodesHTTP || f.Description != "", "description", "is missing")
	c.unless(f.Nodes != NodesISCSI || f.NodeTarget != "", "node_target", "is missing")
	c.unless(f.Nodes == NodesHTTP || f.Nodes == NodesISCSI, "nodes", "%q is neither %s nor %s", f.Nodes, NodesHTTP, NodesISCSI)
	c.unless(len(f.UnitList) > 0, "unit", "there is none")
	seen := map[int]bool{}
	for i, u := range f.UnitList {
		within := checker{c.file, fmt.Sprintf("%s.unit[%d]", c.table, i), c.faults}
		f.Units = append(f.Units, u.check(within, settings))
		within.unless(!seen[u.LUN], "lun", "%d is taken", u.LUN)
		seen[u.LUN] = true
	}
}

// check turns a unit into the terms of the settings.
func (u unit) check(c checker, settings scheduler.Settings) iscsitarget.Unit {
	class := func(name string) int {
		return slices.IndexFunc(settings.Classes, func(c scheduler.Class) bool { return c.Name == name })
	}
	is := iscsitarget.Unit{
		LUN: uint16(u.LUN), Volume: u.Volume, ReadClass: class(u.ReadClass), WriteClass: class(u.WriteClass),
		Plan:  slices.IndexFunc(settings.Plans, func(p scheduler.Plan) bool { return p.Name == u.Plan }),
		Shard: u.Shard, Hosts: cmp.Or(u.Hosts, 1), BlockSize: uint32(cmp.Or(u.BlockSize, defaultBlockSize)),
		Blocks: uint64(u.Blocks), UnitBytes: cmp.Or(u.UnitBytes, defaultUnitBytes),
	}
	c.unless(u.LUN >= 0 && u.LUN <= mostLUN, "lun", "%d is not from 0 to %d", u.LUN, mostLUN)
	c.unless(len(u.Volume) == 16, "volume", "%q is not 16 hex digits", u.Volume)
	c.unless(is.Plan >= 0, "plan", "the settings have no %q", u.Plan)
	c.unless(is.ReadClass >= 0, "read_class", "the settings have no %q", u.ReadClass)
	c.unless(is.WriteClass >= 0, "write_class", "the settings have no %q", u.WriteClass)
	// A read would be given the rules of a write, and the other way round.
	c.unless(is.ReadClass < 0 || !settings.Classes[is.ReadClass].Writes, "read_class", "%q writes", u.ReadClass)
	c.unless(is.WriteClass < 0 || settings.Classes[is.WriteClass].Writes, "write_class", "%q does not write", u.WriteClass)
	c.unless(u.Shard >= 0, "shard", "%d is below 0", u.Shard)
	c.unless(is.Hosts >= 1, "hosts", "%d is below 1", u.Hosts)
	c.unless(u.BlockSize >= 0 && is.BlockSize%512 == 0 && is.BlockSize <= mostBlockSize, "block_size",
		"%d is not a multiple of 512 up to %d", u.BlockSize, mostBlockSize)
	c.unless(u.Blocks >= 1, "blocks", "%d is below 1", u.Blocks)
	c.unless(is.UnitBytes >= 1, "unit_bytes", "%d is below 1", u.UnitBytes)
	return is
}
