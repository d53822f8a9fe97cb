package capture

import (
	"bytes"
	"strings"
	"testing"
)

// A capture whose names are hashed can be replayed, and its requests contain none of the names. The same key gives the
// same capture, and another key another one.
func TestHashedCaptureReplaysAndHidesNames(t *testing.T) {
	key := []byte("a key of sixteen")
	for seed := range uint64(5) {
		original := recordFile(t, seed, 2500, 300_000)
		hash := func(key []byte) []byte {
			hashed, err := Hash(openFile(t, original), key)
			if err != nil {
				t.Fatal(err)
			}
			return hashed
		}
		hashed := hash(key)
		events, err := replayFile(hashed)
		if want, _ := replayFile(original); err != nil || events != want {
			t.Errorf("seed %d: %d events of the hashed capture replayed, want %d; error: %v", seed, events, want, err)
		}
		if !bytes.Equal(hashed, hash(key)) || bytes.Equal(hashed, hash([]byte("another key, too"))) {
			t.Errorf("seed %d: hashing with the same key again gave another capture, "+
				"or with another key the same one", seed)
		}
		_, records := readFile(t, hashed)
		for _, record := range records {
			request := record.Request
			if request == nil {
				continue
			}
			if strings.HasPrefix(request.Volume, "v") || len(request.ID) != hashLength ||
				request.Volume == request.Key {
				t.Fatalf("seed %d: request %+v, want hashes of %d hex digits in place of names",
					seed, request, hashLength)
			}
		}
	}
	if _, err := Hash(openFile(t, recordFile(t, 1, 20, 1<<20)), []byte("short")); err == nil {
		t.Errorf("a key of 5 bytes was accepted, want an error: the minimum is %d", MinHashKey)
	}
}

// BenchmarkHash measures the hash of one name.
func BenchmarkHash(b *testing.B) {
	h := hasher{[]byte("a key of sixteen")}
	for b.Loop() {
		h.id("7e733352ff0572b0")
	}
}
