package rig

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"review2/wire"
)

// Block storage of the cases: one unit, whose command of one block counts as one unit of work.
const (
	BlockSize  = 512
	TargetName = "iqn.2026-11.hr.gradilisni-sat:gateway"
	NodeTarget = "iqn.2026-11.hr.gradilisni-sat:node"
)

// Operator returns an operator's file that turns the iSCSI frontend on. The nodes speak "http" or "iscsi".
func Operator(listen, nodes string) string {
	return fmt.Sprintf(`[log]
level = "debug"
[iscsi]
enabled = true
listen = %q
target = %q
sessions = 8
depth = 16
nodes = %q
description = "api/openapi.yaml"
node_target = %q
[[iscsi.unit]]
lun = 0
volume = "00000003b4d60021"
plan = "standard"
read_class = "sheet-read"
write_class = "entry-write"
shard = 0
hosts = 1
block_size = %d
blocks = 4096
unit_bytes = 8192
`, listen, TargetName, nodes, NodeTarget, BlockSize)
}

// Initiator is a client that speaks iSCSI and has one command outstanding at a time.
type Initiator struct {
	rig    *Rig
	name   string
	conn   net.Conn
	reader *bufio.Reader
	cmdSN  uint32
	statSN uint32
	tag    uint32
}

// NewInitiator logs in at a target.
func (r *Rig) NewInitiator(address, name string) *Initiator {
	var conn net.Conn
	var err error
	for range 50 {
		if conn, err = net.Dial("tcp", address); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Must(err)
	i := &Initiator{rig: r, name: name, conn: conn, reader: bufio.NewReader(conn), cmdSN: 1}
	login := wire.New(wire.LoginRequest|wire.Immediate, wire.FullFeature).Set(wire.CmdSN, i.cmdSN)
	login.Header[8] = 0x80 // a random ISID
	copy(login.Header[9:13], name)
	login.SetText("InitiatorName=iqn.2026-11.test:"+name, "TargetName="+TargetName, "SessionType=Normal",
		"ImmediateData=Yes", "InitialR2T=Yes")
	r.Must(wire.Send(conn, login))
	response, err := wire.Receive(i.reader)
	r.Must(err)
	if response.Op() != wire.LoginResponse || response.Header[36] != 0 {
		r.Cannot("%s: login failed: opcode %#x", name, response.Op())
	}
	i.statSN = response.Get(wire.StatSN) + 1
	return i
}

// StatusNames are the names of the SCSI statuses that a gateway answers with.
var StatusNames = map[byte]string{wire.Good: "GOOD", wire.CheckCondition: "CHECK CONDITION", wire.Busy: "BUSY",
	wire.TaskSetFull: "TASK SET FULL"}

// Write writes one block and returns the SCSI status of the response.
func (i *Initiator) Write(lba uint32, data []byte) (status byte, err error) {
	i.tag++
	p := wire.New(wire.Command, wire.Final|wire.Write)
	p.Set(wire.TaskTag, i.tag).Set(wire.ExpectedLength, uint32(len(data)))
	p.Set(wire.CmdSN, i.cmdSN).Set(wire.ExpStatSN, i.statSN)
	p.SetWrite(lba, uint16(len(data)/BlockSize))
	p.Data = data
	i.cmdSN++
	i.rig.Logf("client %s: WRITE of block %d, %.8q", i.name, lba, data)
	if err := wire.Send(i.conn, p); err != nil {
		return 0, err
	}
	i.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		response, err := wire.Receive(i.reader)
		if err != nil {
			return 0, err
		}
		if response.Op() != wire.Response || response.Get(wire.TaskTag) != i.tag {
			continue
		}
		i.statSN = response.Get(wire.StatSN) + 1
		status := response.Header[3]
		i.rig.Logf("client %s: the answer is %s", i.name, StatusNames[status])
		return status, nil
	}
}

// BlockNode is a storage node that speaks iSCSI. It runs each command that it receives. RFC 7143 has no field by which it
// could recognize that a command of another session is a repeat.
type BlockNode struct {
	Address string
	// run is called with each WRITE. If it returns false, the connection is reset after the command has run.
	run func(lba uint64, data []byte) (answer bool)
}

// NewBlockNode starts a node.
func (r *Rig) NewBlockNode(run func(lba uint64, data []byte) (answer bool)) *BlockNode {
	l := r.Listen()
	n := &BlockNode{Address: l.Addr().String(), run: run}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// serve serves a session.
func (n *BlockNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	statSN, expCmdSN := uint32(1), uint32(1)
	for {
		p, err := wire.Receive(reader)
		if err != nil {
			return
		}
		var response *wire.PDU
		switch p.Op() {
		case wire.LoginRequest:
			expCmdSN = p.Get(wire.CmdSN)
			response = wire.New(wire.LoginResponse, wire.FullFeature)
			copy(response.Header[8:14], p.Header[8:14])
			response.Header[15] = 1 // TSIH
			response.SetText("TargetPortalGroupTag=1", "HeaderDigest=None", "DataDigest=None", "InitialR2T=Yes",
				"ImmediateData=Yes", "FirstBurstLength=65536", "MaxRecvDataSegmentLength=65536", "ErrorRecoveryLevel=0")
		case wire.Command:
			expCmdSN = p.Get(wire.CmdSN) + 1
			if lba, isWrite := p.WriteAddress(); isWrite && !n.run(lba, p.Data) {
				conn.(*net.TCPConn).SetLinger(0) // a reset
				return
			}
			response = wire.New(wire.Response, wire.Final)
		case wire.TaskRequest:
			response = wire.New(wire.TaskResponse, wire.Final)
		case wire.NopOut:
			response = wire.New(wire.NopIn, wire.Final).Set(wire.TransferTag, wire.NoTag)
		default:
			response = wire.New(wire.LogoutResponse, wire.Final)
		}
		response.Set(wire.TaskTag, p.Get(wire.TaskTag)).Set(wire.StatSN, statSN)
		response.Set(wire.ExpCmdSN, expCmdSN).Set(wire.MaxCmdSN, expCmdSN+31)
		statSN++
		if wire.Send(conn, response) != nil || p.Op() == wire.LogoutRequest {
			return
		}
	}
}
