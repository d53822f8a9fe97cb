package segment

import (
	"testing"

	"pgregory.net/rapid"
)

// The outdated segments are the oldest ones, and no more than must be removed to keep the limit.
func TestOutdatedSegments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Size:  rapid.Int64Range(1, 100).Draw(t, "size"),
			Total: rapid.Int64Range(100, 1000).Draw(t, "total"),
		}
		var files []file
		for i, size := range rapid.SliceOfN(rapid.Int64Range(0, 150), 0, 30).Draw(t, "sizes") {
			files = append(files, file{uint64(i), size})
		}
		outdated := limits.outdated(files)
		left := limits.Size
		for i, f := range files {
			if i < len(outdated) && outdated[i].number != f.number {
				t.Fatalf("outdated segment %d has number %d, want %d", i, outdated[i].number, f.number)
			}
			if i >= len(outdated) {
				left += f.size
			}
		}
		if left > limits.Total && len(outdated) < len(files) {
			t.Fatalf("%d bytes are left, more than the limit of %d", left, limits.Total)
		}
		if len(outdated) > 0 && left+outdated[len(outdated)-1].size <= limits.Total {
			t.Fatalf("%d segments are removed and %d bytes left, but fewer would do for the limit of %d",
				len(outdated), left, limits.Total)
		}
	})
}

func TestBackoffIsBounded(t *testing.T) {
	for failures := 1; failures < 100; failures++ {
		if pause := backoff(failures); pause <= 0 || pause > maxBackoff {
			t.Errorf("pause of %v after %d failures, want one of at most %v", pause, failures, maxBackoff)
		}
	}
}

func TestSegmentNumbersFromFileNames(t *testing.T) {
	for _, name := range []string{
		"",
		"decisions-gate_1-1.segment",
		"decisions-gate_1-000000000001.segment.part",
		FilePrefixOf("gate").File(1),
		"x",
		names.File(3) + "x",
	} {
		if _, ok := names.Number(name); ok {
			t.Errorf("%q is taken for a segment of the gateway", name)
		}
	}
	if number, ok := names.Number(names.File(123)); !ok || number != 123 {
		t.Errorf("number %d, %t; want 123, true", number, ok)
	}
}
