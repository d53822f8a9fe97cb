package gateway

import "testing"

func TestGCPercentFollowsTheMemoryLimit(t *testing.T) {
	for memoryMB, want := range map[int]int{16: 100, 32: 160, 64: 320, 192: 400} {
		if got := gcPercent(memoryMB); got != want {
			t.Errorf("gcPercent(%d) = %d, want %d", memoryMB, got, want)
		}
	}
}
