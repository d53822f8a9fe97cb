package iscsitarget

import (
	"fmt"

	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// Unit is a logical unit with the facts by which its commands are scheduled.
type Unit struct {
	LUN        uint16
	Volume     string
	Plan       int // index in Options.Plans
	ReadClass  int // index in Options.Classes
	WriteClass int // index in Options.Classes
	Shard      int
	Hosts      int    // number of gateways that receive requests for the volume
	BlockSize  uint32 // bytes
	Blocks     uint64 // number of blocks
	UnitBytes  int    // bytes that count as one unit of work
}

// class returns the index of the class of a READ or WRITE.
func (u *Unit) class(write bool) int {
	if write {
		return u.WriteClass
	}
	return u.ReadClass
}

// request returns the facts by which a command is scheduled. A command counts as at least one unit of work. The data
// key is the address of its first block.
func (u *Unit) request(id string, c *iscsi.Command) scheduler.Request {
	units := max(1, (c.Length()+u.UnitBytes-1)/u.UnitBytes)
	return scheduler.Request{
		ID:     id,
		Class:  u.class(c.Write),
		Plan:   u.Plan,
		Volume: u.Volume,
		Key:    fmt.Sprintf("%016x", c.LBA),
		Units:  float64(units),
		Shard:  u.Shard,
		Hosts:  u.Hosts,
	}
}

// Translator converts commands to the protocol of the nodes, and the replies of the nodes to SCSI data.
type Translator interface {
	// Request returns the payload of the exchange with a node that carries out a command.
	Request(q scheduler.Request, c *iscsi.Command) (payload any, err error)
	// Data returns the data of a READ from a node's reply.
	Data(reply any) ([]byte, error)
	// PassesKey reports whether requests for a command carry an idempotency key to the nodes.
	PassesKey(c *iscsi.Command) bool
}

// NativeTranslator is the Translator for nodes that speak iSCSI themselves.
type NativeTranslator struct{}

// Request returns the command unchanged.
func (NativeTranslator) Request(_ scheduler.Request, c *iscsi.Command) (any, error) { return c, nil }

// PassesKey returns false: iSCSI commands have no idempotency key.
func (NativeTranslator) PassesKey(*iscsi.Command) bool { return false }

// Data returns the data of an iscsi.Reply.
func (NativeTranslator) Data(reply any) ([]byte, error) {
	r, ok := reply.(*iscsi.Reply)
	if !ok {
		return nil, fmt.Errorf("iscsitarget: reply of node has type %T, want *iscsi.Reply", reply)
	}
	return r.Data, nil
}
