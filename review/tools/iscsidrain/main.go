// Command iscsidrain is a probe: a gateway is restarted as planned while an iSCSI client with a slow link has commands
// outstanding, and their data is lost.
package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"standin/stage"
)

const (
	depth     = 16
	blocks    = 117 // of a READ, 59,904 bytes
	bytesPerS = 300e3
)

func main() { stage.Main(run) }

type slow struct{ net.Conn }

func (c slow) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 4096)])
	time.Sleep(time.Duration(float64(n) / bytesPerS * float64(time.Second)))
	return n, err
}

func run(root string, record *stage.Record, trouble bool) (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	data := make([]byte, blocks*512)
	go (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(40 * time.Millisecond)
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		w.Write(data)
	})}).Serve(l)
	d, err := stage.NewDiscovery([]stage.Node{{Host: "s-0", Dial: l.Addr().String(), Site: "hall-a", Class: "small-2c", Health: "up", Share: 1}}, record)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	g, err := stage.NewGateway(root, "g0", stage.Config(stage.Taoyuan(1), d, 192, 1024), record)
	if err != nil {
		return 0, err
	}
	defer g.Remove()
	listen, err := stage.FreeAddress()
	if err != nil {
		return 0, err
	}
	g.Operator = fmt.Sprintf(`[log]
level = "info"

[iscsi]
enabled = true
listen = %q
target = "iqn.2026-12.test:gateway"
nodes = "http"
description = "api/openapi.yaml"

[[iscsi.unit]]
lun = 0
volume = "00000003b4d60021"
plan = "standard"
read_class = "export"
write_class = "new-order"
shard = 0
hosts = 1
block_size = 512
blocks = 2097152
unit_bytes = 65536
`, listen)
	if err := g.Start(); err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, err
	}
	reader := bufio.NewReader(slow{conn})
	p := &stage.PDU{Data: stage.LoginText("InitiatorName=iqn.2026-12.test:scanner", "TargetName=iqn.2026-12.test:gateway", "SessionType=Normal")}
	p.Header[0], p.Header[1], p.Header[8], p.Header[13] = 0x43, 0x87, 0x80, 1
	p.Set(stage.FieldCmdSN, 1)
	p.Write(conn)
	answer, err := stage.ReadPDU(reader)
	if err != nil || answer.Header[36] != 0 {
		return 0, fmt.Errorf("login: %v", err)
	}
	cmdSN, tag := answer.Get(stage.FieldExpCmdSN), uint32(0)
	out := map[uint32]time.Time{}
	var mu sync.Mutex
	send := func() {
		p := &stage.PDU{}
		p.Header[0], p.Header[1], p.Header[32] = stage.SCSICommand, 0xc0, stage.Read10
		mu.Lock()
		defer mu.Unlock()
		tag++
		binary.BigEndian.PutUint32(p.Header[34:], tag)
		binary.BigEndian.PutUint16(p.Header[39:], blocks)
		p.Set(stage.FieldITT, tag)
		p.Set(stage.FieldLength, blocks*512)
		p.Set(stage.FieldCmdSN, cmdSN)
		cmdSN++
		out[tag] = time.Now()
		if err := p.Write(conn); err != nil {
			record.Printf("client: READ %d not sent: %v", tag, err)
		}
	}
	for range depth {
		send()
	}
	start := time.Now()
	var termAt time.Time
	done, worst := 0, time.Duration(0)
	logout := false
	for {
		if trouble && termAt.IsZero() && time.Since(start) > 2*time.Second {
			termAt = time.Now()
			g.Signal(syscall.SIGTERM)
		}
		conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		answer, err := stage.ReadPDU(reader)
		if err != nil {
			record.Printf("client: %v", err)
			break
		}
		switch {
		case answer.Op() == 0x32:
			record.Printf("client: asked to log out")
			logout = true
		case answer.Op() == stage.DataIn && answer.Header[1]&1 == 1, answer.Op() == stage.SCSIResponse:
			t := answer.Get(stage.FieldITT)
			took := time.Since(out[t])
			worst = max(worst, took)
			record.Printf("client: READ %d ended with status %#02x after %v", t, answer.Header[3], took)
			delete(out, t)
			done++
			if !logout && time.Since(start) < 9*time.Second {
				send()
			}
		}
		if len(out) == 0 {
			break
		}
	}
	record.Verdict("%d READs answered (worst after %v), %d never", done, worst, len(out))
	if len(out) > 0 {
		return 1, nil
	}
	return 0, nil
}
