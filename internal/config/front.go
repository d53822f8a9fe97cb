package config

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"github.com/BurntSushi/toml"

	"reachpulley/decide"
	"reachpulley/internal/front/iscsifront"
)

// The second front's file, and the variable that names another.
const (
	envFront  = "BALANCER_ISCSI"
	frontFile = "deploy/iscsi.toml"
)

// What holds where the file is silent.
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

// Front is the second front's configuration.
type Front struct {
	Listen      string            `toml:"listen"`
	Enabled     bool              `toml:"enabled"`
	Target      string            `toml:"target"`
	Sessions    int               `toml:"sessions"`
	Depth       int               `toml:"depth"`
	Nodes       string            `toml:"nodes"`
	Description string            `toml:"description"`
	NodeTarget  string            `toml:"node_target"`
	UnitList    []unit            `toml:"unit"`
	Units       []iscsifront.Unit `toml:"-"` // the list in the terms of the settings
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

// LoadFront reads the second front's file; nil where it is off.
func LoadFront(getenv func(string) string, settings decide.Settings) (*Front, error) {
	named := getenv(envFront)
	path := cmp.Or(named, frontFile)
	f := &Front{Sessions: defaultSessions, Depth: defaultDepth, Nodes: NodesHTTP}
	meta, err := toml.DecodeFile(path, f)
	if errors.Is(err, fs.ErrNotExist) && named == "" {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if !f.Enabled {
		return nil, nil
	}
	if err := f.check(settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func (f *Front) check(settings decide.Settings) error {
	if err := address("listen", f.Listen); err != nil {
		return err
	}
	switch {
	case f.Target == "":
		return errors.New("target: is missing")
	case f.Sessions < 1 || f.Sessions > mostSessions:
		return fmt.Errorf("sessions: %d is not from 1 to %d", f.Sessions, mostSessions)
	case f.Depth < 1 || f.Depth > mostDepth:
		return fmt.Errorf("depth: %d is not from 1 to %d", f.Depth, mostDepth)
	case f.Nodes == NodesHTTP && f.Description == "":
		return errors.New("description: is missing")
	case f.Nodes == NodesISCSI && f.NodeTarget == "":
		return errors.New("node_target: is missing")
	case f.Nodes != NodesHTTP && f.Nodes != NodesISCSI:
		return fmt.Errorf("nodes: %q is neither %s nor %s", f.Nodes, NodesHTTP, NodesISCSI)
	case len(f.UnitList) == 0:
		return errors.New("unit: there is none")
	}
	seen := map[int]bool{}
	for i, u := range f.UnitList {
		unit, err := u.check(settings)
		if err == nil && seen[u.LUN] {
			err = fmt.Errorf("lun: %d is taken", u.LUN)
		}
		if err != nil {
			return fmt.Errorf("unit[%d].%w", i, err)
		}
		seen[u.LUN] = true
		f.Units = append(f.Units, unit)
	}
	return nil
}

// check turns a unit into the terms of the settings.
func (u unit) check(settings decide.Settings) (iscsifront.Unit, error) {
	class := func(name string) int {
		return slices.IndexFunc(settings.Classes, func(c decide.Class) bool { return c.Name == name })
	}
	is := iscsifront.Unit{
		LUN: uint16(u.LUN), Volume: u.Volume, ReadClass: class(u.ReadClass), WriteClass: class(u.WriteClass),
		Plan:  slices.IndexFunc(settings.Plans, func(p decide.Plan) bool { return p.Name == u.Plan }),
		Shard: u.Shard, Hosts: cmp.Or(u.Hosts, 1), BlockSize: uint32(cmp.Or(u.BlockSize, defaultBlockSize)),
		Blocks: uint64(u.Blocks), UnitBytes: cmp.Or(u.UnitBytes, defaultUnitBytes),
	}
	var err error
	switch {
	case u.LUN < 0 || u.LUN > mostLUN:
		err = fmt.Errorf("lun: %d is not from 0 to %d", u.LUN, mostLUN)
	case len(u.Volume) != 16:
		err = fmt.Errorf("volume: %q is not 16 hex digits", u.Volume)
	case is.Plan < 0:
		err = fmt.Errorf("plan: the settings have no %q", u.Plan)
	case is.ReadClass < 0:
		err = fmt.Errorf("read_class: the settings have no %q", u.ReadClass)
	case is.WriteClass < 0:
		err = fmt.Errorf("write_class: the settings have no %q", u.WriteClass)
	case settings.Classes[is.ReadClass].Writes: // a read would be given the rules of a write, and the other way round
		err = fmt.Errorf("read_class: %q writes", u.ReadClass)
	case !settings.Classes[is.WriteClass].Writes:
		err = fmt.Errorf("write_class: %q does not write", u.WriteClass)
	case u.Shard < 0:
		err = fmt.Errorf("shard: %d is below 0", u.Shard)
	case is.Hosts < 1:
		err = fmt.Errorf("hosts: %d is below 1", u.Hosts)
	case u.BlockSize < 0 || is.BlockSize%512 != 0 || is.BlockSize > mostBlockSize:
		err = fmt.Errorf("block_size: %d is not a multiple of 512 up to %d", u.BlockSize, mostBlockSize)
	case u.Blocks < 1:
		err = fmt.Errorf("blocks: %d is below 1", u.Blocks)
	case is.UnitBytes < 1:
		err = fmt.Errorf("unit_bytes: %d is below 1", u.UnitBytes)
	}
	return is, err
}
