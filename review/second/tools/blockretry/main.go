// Command blockretry is the case on a WRITE whose reply is lost: the nodes speak iSCSI, and one of them resets the
// connection after it has run a WRITE. Without the disruption it answers.
package main

import (
	"bytes"
	"sync"

	"review2/rig"
	"review2/wire"
)

func main() {
	r := rig.New()
	var mu sync.Mutex
	runs := map[string]int{} // by the data of the WRITE
	node := r.NewBlockNode(func(lba uint64, data []byte) (answer bool) {
		mu.Lock()
		defer mu.Unlock()
		name := string(bytes.TrimRight(data, "\x00"))
		runs[name]++
		lost := r.Trouble && name == "record-3" && runs[name] == 1
		r.Logf("node s-00000001: runs the WRITE of block %d, %q, for the %d. time; reply lost: %v", lba, name, runs[name], lost)
		return !lost
	})
	discovery := r.NewDiscovery(rig.NewHost("s-00000001", node.Address, 0))
	listen := r.FreeAddress()
	g := r.Start("n1", r.Config(r.FreeAddress(), discovery), rig.Operator(listen, "iscsi"))
	r.WaitReady(g, "http://"+g.Listen+"/ready")
	client := r.NewInitiator(listen, "scan")
	for i := range 6 {
		block := make([]byte, rig.BlockSize)
		copy(block, "record-"+string(rune('0'+i)))
		status, err := client.Write(uint32(100+i), block)
		if err != nil {
			r.Cannot("the session ended: %v", err)
		}
		if status != wire.Good && !r.Trouble {
			r.Cannot("a WRITE was not served: %s", rig.StatusNames[status])
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for name, n := range runs {
		if n > 1 {
			r.Finish(rig.Broken, "the client sent %q once, and the node ran it %d times", name, n)
		}
	}
	r.Finish(rig.Held, "the node ran each of %d WRITEs once", len(runs))
}
