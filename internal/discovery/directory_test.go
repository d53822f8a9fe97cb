package discovery

import (
	"fmt"
	"testing"
)

// Node IDs are never reused: the directory holds only the nodes that are listed.
func TestDirectoryForgetsRemovedNodes(t *testing.T) {
	var directory Directory
	for i := range 1000 {
		directory.update(&List{Hosts: []host{
			{ID: fmt.Sprint(i), Health: "up"},
			{ID: fmt.Sprint(i - 1), Health: "removed"},
		}})
	}
	if len(directory.nodes) != 1 || !directory.Lookup("999").Up {
		t.Errorf("%d nodes are held", len(directory.nodes))
	}
}
