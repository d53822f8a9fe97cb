package discovery

import (
	"fmt"
	"testing"
)

// Node IDs are never reused, so a directory that kept removed nodes would grow without bound.
func TestDirectoryForgetsRemovedNodes(t *testing.T) {
	var directory Directory
	for i := range 1000 {
		directory.update(&List{Hosts: []host{
			{ID: fmt.Sprint(i), Health: "up"},
			{ID: fmt.Sprint(i - 1), Health: "removed"},
		}})
	}
	if len(directory.nodes) != 1 || !directory.Lookup("999").Up {
		t.Errorf("directory holds %d nodes, want 1; node 999 is up: %v, want true",
			len(directory.nodes), directory.Lookup("999").Up)
	}
}
