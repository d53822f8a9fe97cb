// Command secondcopy is a case: a storage node that speaks iSCSI hangs in the middle of a WRITE. The gateway gives the
// attempt up and sends the WRITE again over the same connection, where the first one is still out. The node runs both,
// and the late one undoes later writes that were answered GOOD.
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
	block         = 7                      // address of the block that the writer writes
	readers       = 4                      // clients that read other blocks
	serviceTime   = 25 * time.Millisecond  // of a command at the node; the site file: 17 to 42 ms
	burst         = 45                     // WRITEs that the writer sends one after the other, before it only reads
	hangIn        = 43                     // the node hangs in the first attempt of this WRITE of a burst: 2.2% of them
	hangFor       = 625 * time.Millisecond // in all 26 times the usual; the rest of the node's work goes on
	readFor       = time.Second
	playFor       = 12 * time.Second
)

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	n, err := newNode(record, trouble)
	if err != nil {
		return 0, err
	}
	defer n.listener.Close()
	discovery, err := stage.NewDiscovery([]stage.Node{{
		Host: "s-0", Dial: n.listener.Addr().String(), Site: "room-a", Class: "small-2core", Health: "up", Share: 1,
	}}, record)
	if err != nil {
		return 0, err
	}
	defer discovery.Close()
	gateway, err := stage.NewGateway(root, "g0", stage.Config(stage.Kathmandu(1), discovery, 192, 1024), record)
	if err != nil {
		return 0, err
	}
	listen, err := stage.FreeAddress()
	if err != nil {
		return 0, err
	}
	gateway.Operator = fmt.Sprintf(operator, listen, gatewayTarget, nodeTarget)
	defer gateway.Remove()
	if err := gateway.Start(); err != nil {
		return 0, err
	}
	var clients []*stage.Initiator
	for i := range 1 + readers {
		client, err := stage.Login(listen, fmt.Sprintf("iqn.2026-12.test:client-%d", i), gatewayTarget, byte(i+1))
		if err != nil {
			return 0, err
		}
		defer client.Close()
		clients = append(clients, client)
	}
	until := time.Now().Add(playFor)
	var all sync.WaitGroup
	for _, client := range clients[1:] {
		all.Go(func() {
			for lba := uint32(100); time.Now().Before(until); lba++ {
				if _, _, err := client.Transfer(lba, nil); err != nil {
					record.Printf("reader: %v", err)
					return
				}
			}
		})
	}
	w := &writer{record: record, client: clients[0]}
	writerErr := w.play(until)
	all.Wait()
	if writerErr != nil {
		return 0, writerErr
	}
	record.Verdict("%d WRITEs sent by the client, %d answered GOOD; the node got %d of them a second time while the first "+
		"attempt was out on an open connection; %d times a WRITE that was answered GOOD was undone", w.sent, w.good,
		n.copies.Load(), w.undone)
	switch {
	case n.copies.Load() > 0:
		return stage.Broken, nil
	case w.good < 20 || trouble && n.hangs.Load() == 0:
		return 0, fmt.Errorf("too little happened for a verdict")
	}
	return stage.Held, nil
}

// operator is the operator's file: iSCSI clients are served from nodes that speak iSCSI.
const operator = `[log]
level = "info"

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
read_class = "order-read"
write_class = "order-write"
shard = 0
hosts = 1
block_size = 512
blocks = 2097152
unit_bytes = 256
`

// writer is a client that writes one block in bursts, and reads it after each WRITE and between the bursts. Nobody else
// writes the block.
type writer struct {
	record             *stage.Record
	client             *stage.Initiator
	sent, good, undone int
	number             uint64
	last               uint64 // the number that was answered GOOD last
}

func (w *writer) play(until time.Time) error {
	for time.Now().Before(until) {
		for range burst {
			if err := w.write(); err != nil {
				return err
			}
			if err := w.read(); err != nil {
				return err
			}
		}
		for end := time.Now().Add(readFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if err := w.read(); err != nil {
				return err
			}
		}
	}
	return nil
}

// write writes the next number.
func (w *writer) write() error {
	w.number++
	w.sent++
	data := make([]byte, 512)
	binary.BigEndian.PutUint64(data, w.number)
	status, _, err := w.client.Transfer(block, data)
	w.record.Printf("writer: WRITE %d -> status %#02x, %v", w.number, status, err)
	if err == nil && status == 0 {
		w.good++
		w.last = w.number
	}
	return err
}

// read reads the block. It must not hold a number below the one that was answered GOOD last.
func (w *writer) read() error {
	status, data, err := w.client.Transfer(block, nil)
	if err != nil {
		return err
	}
	if status != 0 || len(data) != 512 {
		w.record.Printf("writer: READ -> status %#02x", status)
		return nil
	}
	value := binary.BigEndian.Uint64(data)
	w.record.Printf("writer: READ -> %d", value)
	if value < w.last {
		w.undone++
		w.record.Printf("writer: WRITE %d was answered GOOD and is LOST, the block holds %d again", w.last, value)
		w.last = value // counted once
	}
	return nil
}

// node is a storage node that speaks iSCSI and keeps its blocks in memory.
type node struct {
	listener      net.Listener
	record        *stage.Record
	trouble       bool
	copies, hangs atomic.Int64

	mu     sync.Mutex
	blocks map[uint32][]byte
	out    map[uint64]map[*session]bool // attempts of the writer's WRITEs that are out on an open connection, by number
	seen   map[uint64]bool
}

func newNode(record *stage.Record, trouble bool) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{
		listener: l, record: record, trouble: trouble, blocks: map[uint32][]byte{},
		out: map[uint64]map[*session]bool{}, seen: map[uint64]bool{},
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n, nil
}

// session is one session with the gateway.
type session struct {
	conn             net.Conn
	mu               sync.Mutex
	statSN, expCmdSN uint32
}

// accept takes the number of a request.
func (s *session) accept(p *stage.PDU) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case p.Op() == stage.LoginRequest:
		s.expCmdSN = p.Get(stage.FieldCmdSN)
	case p.Header[0]&0x40 == 0:
		s.expCmdSN = p.Get(stage.FieldCmdSN) + 1
	}
}

// answer sends a response to a request. The byte third is the third of the header: the response of a task management.
func (s *session) answer(op, flags, third byte, to *stage.PDU, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &stage.PDU{Data: data}
	p.Header[0], p.Header[1], p.Header[2] = op, flags, third
	p.Set(stage.FieldITT, to.Get(stage.FieldITT))
	p.Set(stage.FieldStatSN, s.statSN)
	p.Set(stage.FieldExpCmdSN, s.expCmdSN)
	p.Set(stage.FieldMaxCmdSN, s.expCmdSN+63)
	s.statSN++
	if op == stage.LoginResponse {
		copy(p.Header[8:14], to.Header[8:14])
		p.Header[15] = 1
	}
	if op == stage.NopIn {
		p.Set(20, stage.NoTag)
	}
	p.Write(s.conn)
}

// functionRejected is the answer to a task management function that is not carried out: running work goes on.
const functionRejected = 255

// serve reads the requests of a session and runs its commands side by side.
func (n *node) serve(conn net.Conn) {
	defer conn.Close()
	s := &session{conn: conn}
	reader := bufio.NewReader(conn)
	for {
		p, err := stage.ReadPDU(reader)
		if err != nil {
			n.endSession(s, err)
			return
		}
		s.accept(p)
		switch p.Op() {
		case stage.LoginRequest:
			s.answer(stage.LoginResponse, 0x80|1<<2|3, 0, p, stage.LoginText("TargetPortalGroupTag=1"))
		case stage.SCSICommand:
			hang := n.begin(s, p)
			go n.command(s, p, hang)
		case stage.TaskRequest:
			n.record.Printf("node: ABORT TASK of tag %d rejected, running work goes on", p.Get(20))
			s.answer(stage.TaskResponse, 0x80, functionRejected, p, nil)
		case stage.LogoutRequest:
			s.answer(stage.LogoutReply, 0x80, 0, p, nil)
			n.endSession(s, nil)
			return
		case stage.NopOut:
			if p.Get(stage.FieldITT) != stage.NoTag {
				s.answer(stage.NopIn, 0x80, 0, p, p.Data)
			}
		}
	}
}

// endSession notes that the gateway has given up all attempts of a session with its connection.
func (n *node) endSession(s *session, reason error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Printf("node: session ended: %v", reason)
	for _, sessions := range n.out {
		delete(sessions, s)
	}
}

// begin notes that a command has come, and reports whether the node hangs in it.
func (n *node) begin(s *session, p *stage.PDU) (hang bool) {
	if p.Header[32] != stage.Write10 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	number := binary.BigEndian.Uint64(p.Data)
	tag := p.Get(stage.FieldITT)
	n.record.Printf("node: tag %d: WRITE %d comes", tag, number)
	if len(n.out[number]) > 0 {
		n.copies.Add(1)
		n.record.Printf("node: tag %d: WRITE %d is a SECOND COPY, the first attempt is out on an open connection", tag, number)
	}
	if n.out[number] == nil {
		n.out[number] = map[*session]bool{}
	}
	n.out[number][s] = true
	hang = n.trouble && !n.seen[number] && number%burst == hangIn
	n.seen[number] = true
	if hang {
		n.hangs.Add(1)
		n.record.Printf("node: tag %d: hangs in WRITE %d for %v", tag, number, hangFor)
	}
	return hang
}

// command runs a READ or WRITE of one block and answers it.
func (n *node) command(s *session, p *stage.PDU, hang bool) {
	time.Sleep(serviceTime)
	if hang {
		time.Sleep(hangFor)
	}
	lba := binary.BigEndian.Uint32(p.Header[34:])
	n.mu.Lock()
	if p.Header[32] == stage.Write10 {
		number := binary.BigEndian.Uint64(p.Data)
		n.blocks[lba] = append([]byte(nil), p.Data...)
		delete(n.out[number], s)
		n.record.Printf("node: tag %d: WRITE %d has run", p.Get(stage.FieldITT), number)
		n.mu.Unlock()
		s.answer(stage.SCSIResponse, 0x80, 0, p, nil)
		return
	}
	data := make([]byte, 512)
	copy(data, n.blocks[lba])
	n.mu.Unlock()
	s.answer(stage.DataIn, 0x81, 0, p, data)
}
