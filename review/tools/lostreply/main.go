// Command lostreply is a case: the reply to a WRITE of an iSCSI client is lost after the storage node has run the WRITE.
// The gateway sends the WRITE again, without a key by which the node could drop the repeat, and so undoes a write of
// another client that was answered GOOD in the meantime.
package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"standin/stage"
)

const (
	nodeTarget    = "iqn.2026-12.test:node"
	gatewayTarget = "iqn.2026-12.test:gateway"
	block         = 7                      // address of the block that both clients write
	serviceTime   = 10 * time.Millisecond  // of a command at the node
	handshake     = 100 * time.Millisecond // what a new session costs at the node before its first command
	playFor       = 4 * time.Second
	other         = 1000000 // what the first client writes, once
)

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	n, err := newNode(record, trouble)
	if err != nil {
		return 0, err
	}
	defer n.listener.Close()
	discovery, err := stage.NewDiscovery([]stage.Node{{
		Host: "s-0", Dial: n.listener.Addr().String(), Site: "room-a", Class: "full-speed", Health: "up", Share: 1,
	}}, record)
	if err != nil {
		return 0, err
	}
	defer discovery.Close()
	var clients []*stage.Initiator
	for i := range 2 {
		address, err := startGateway(root, i, discovery, record)
		if err != nil {
			return 0, err
		}
		client, err := stage.Login(address.iscsi, fmt.Sprintf("iqn.2026-12.test:client-%d", i+1), gatewayTarget, byte(i+1))
		defer address.gateway.Remove()
		if err != nil {
			return 0, err
		}
		defer client.Close()
		clients = append(clients, client)
	}
	p := &play{record: record, until: time.Now().Add(playFor)}
	// Both gateways open their sessions with the node.
	for i, client := range clients {
		if _, err := p.read(client, i+1); err != nil {
			return 0, err
		}
	}
	var all sync.WaitGroup
	var counterErr error
	all.Go(func() { counterErr = p.count(clients[1]) })
	time.Sleep(time.Second)
	status, err := p.write(clients[0], 1, other)
	record.Printf("client 1: its one WRITE of %d ended with status %#02x, %v", other, status, err)
	all.Wait()
	if counterErr != nil {
		return 0, counterErr
	}
	runs := n.runs.Load()
	record.Verdict("client 1 sent one WRITE, the node ran it %d times; client 2 had %d WRITEs answered GOOD, %d of them were "+
		"undone", runs, p.good, p.undone)
	switch {
	case runs > 1:
		return stage.Broken, nil
	case runs == 0 || p.good < 10:
		return 0, fmt.Errorf("too little happened for a verdict")
	}
	return stage.Held, nil
}

// addresses are a gateway and where its iSCSI clients connect.
type addresses struct {
	gateway *stage.Gateway
	iscsi   string
}

// startGateway starts a gateway that serves iSCSI clients from nodes that speak iSCSI.
func startGateway(root string, number int, discovery *stage.Discovery, record *stage.Record) (addresses, error) {
	settings := stage.Zagreb(2)
	settings["me"] = number
	gateway, err := stage.NewGateway(root, fmt.Sprintf("g%d", number), stage.Config(settings, discovery, 192, 1024), record)
	if err != nil {
		return addresses{}, err
	}
	listen, err := stage.FreeAddress()
	if err != nil {
		return addresses{}, err
	}
	gateway.Operator = fmt.Sprintf(`[log]
level = "debug"

[iscsi]
enabled = true
listen = %q
target = %q
nodes = "iscsi"
node_target = %q

[[iscsi.unit]]
lun = 0
volume = "00000003b4d60021"
plan = "standard"
read_class = "sheet-read"
write_class = "entry-write"
shard = 0
hosts = 2
block_size = 512
blocks = 2097152
unit_bytes = 8192
`, listen, gatewayTarget, nodeTarget)
	return addresses{gateway, listen}, gateway.Start()
}

// play is what the clients do and see.
type play struct {
	record *stage.Record
	until  time.Time
	good   int
	undone int
}

func (p *play) read(client *stage.Initiator, number int) (uint64, error) {
	status, data, err := client.Transfer(block, nil)
	if err != nil {
		return 0, err
	}
	if status != 0 || len(data) != 512 {
		return 0, fmt.Errorf("client %d: READ ended with status %#02x and %d bytes", number, status, len(data))
	}
	value := binary.BigEndian.Uint64(data)
	p.record.Printf("client %d: READ  -> %d", number, value)
	return value, nil
}

func (p *play) write(client *stage.Initiator, number int, value uint64) (status byte, err error) {
	data := make([]byte, 512)
	binary.BigEndian.PutUint64(data, value)
	status, _, err = client.Transfer(block, data)
	p.record.Printf("client %d: WRITE %d -> status %#02x, %v", number, value, status, err)
	return status, err
}

// count reads the block and writes the next number, again and again. A number that is answered GOOD must not give way
// to a smaller one once client 1's number was seen: client 1 writes only once, and nobody else writes.
func (p *play) count(client *stage.Initiator) error {
	var last uint64
	for time.Now().Before(p.until) {
		value, err := p.read(client, 2)
		if err != nil {
			return err
		}
		if last > other && value < last {
			p.undone += int(last - value)
			p.record.Printf("client 2: %d was answered GOOD and is LOST, the block holds %d again", last, value)
		}
		status, err := p.write(client, 2, value+1)
		if err != nil {
			return err
		}
		if status == 0 {
			p.good++
			last = value + 1
		}
	}
	return nil
}

// node is a storage node that speaks iSCSI and keeps its blocks in memory.
type node struct {
	listener net.Listener
	record   *stage.Record
	trouble  bool
	runs     atomic.Int64 // of client 1's WRITE

	mu     sync.Mutex
	blocks map[uint32][]byte
}

func newNode(record *stage.Record, trouble bool) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{listener: l, record: record, trouble: trouble, blocks: map[uint32][]byte{}}
	go func() {
		for i := 1; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn.(*net.TCPConn), i)
		}
	}()
	return n, nil
}

// serve runs the commands of a session in the order in which they come.
func (n *node) serve(conn *net.TCPConn, number int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var statSN, expCmdSN uint32
	answer := func(op, flags byte, to *stage.PDU, data []byte) error {
		p := &stage.PDU{Data: data}
		p.Header[0], p.Header[1] = op, flags
		p.Set(stage.FieldITT, to.Get(stage.FieldITT))
		p.Set(stage.FieldStatSN, statSN)
		p.Set(stage.FieldExpCmdSN, expCmdSN)
		p.Set(stage.FieldMaxCmdSN, expCmdSN+63)
		statSN++
		if op == stage.LoginResponse {
			copy(p.Header[8:14], to.Header[8:14])
			p.Header[15] = byte(number)
		}
		if op == stage.NopIn {
			p.Set(20, stage.NoTag)
		}
		return p.Write(conn)
	}
	for {
		p, err := stage.ReadPDU(reader)
		if err != nil {
			return
		}
		if p.Header[0]&0x40 == 0 {
			expCmdSN = p.Get(stage.FieldCmdSN) + 1
		}
		switch p.Op() {
		case stage.LoginRequest:
			time.Sleep(handshake)
			expCmdSN = p.Get(stage.FieldCmdSN)
			n.record.Printf("node: session %d opened", number)
			err = answer(stage.LoginResponse, 0x80|1<<2|3, p, stage.LoginText("TargetPortalGroupTag=1"))
		case stage.SCSICommand:
			time.Sleep(serviceTime)
			data, lost := n.command(p, number)
			switch {
			case lost:
				conn.SetLinger(0)
				return
			case data != nil:
				err = answer(stage.DataIn, 0x81, p, data)
			default:
				err = answer(stage.SCSIResponse, 0x80, p, nil)
			}
		case stage.TaskRequest:
			err = answer(stage.TaskResponse, 0x80, p, nil)
		case stage.LogoutRequest:
			answer(stage.LogoutReply, 0x80, p, nil)
			return
		case stage.NopOut:
			if p.Get(stage.FieldITT) != stage.NoTag {
				err = answer(stage.NopIn, 0x80, p, p.Data)
			}
		}
		if err != nil {
			return
		}
	}
}

// command runs a READ or WRITE of one block. It reports whether the reply is to be lost: that to the first run of
// client 1's WRITE.
func (n *node) command(p *stage.PDU, session int) (data []byte, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lba := binary.BigEndian.Uint32(p.Header[34:])
	if p.Header[32] == stage.Read10 {
		data = make([]byte, 512)
		copy(data, n.blocks[lba])
		return data, false
	}
	n.blocks[lba] = append([]byte(nil), p.Data...)
	value := binary.BigEndian.Uint64(p.Data)
	n.record.Printf("node: session %d, tag %d: runs WRITE %d", session, p.Get(stage.FieldITT), value)
	if value != other {
		return nil, false
	}
	if n.runs.Add(1) == 1 && n.trouble {
		n.record.Printf("node: session %d is reset, the reply to WRITE %d is lost", session, value)
		return nil, true
	}
	return nil, false
}
