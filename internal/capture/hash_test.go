package capture

import (
	"bytes"
	"strings"
	"testing"
)

// A capture whose names are hashed replays to the byte, tells no name, and is the same each time it is made.
func TestHash(t *testing.T) {
	for seed := range uint64(5) {
		original := captured(t, day(t, seed, 2500, 300_000))
		key := []byte("a key of sixteen")
		hash := func(key []byte) []byte {
			c, err := NewReader(bytes.NewReader(original))
			if err != nil {
				t.Fatal(err)
			}
			out, err := Hash(c, key)
			if err != nil {
				t.Fatal(err)
			}
			return out
		}
		hashed := hash(key)
		n, err := replay(hashed)
		if want, _ := replay(original); err != nil || n != want {
			t.Errorf("seed %d: %d of %d events, %v", seed, n, want, err)
		}
		if !bytes.Equal(hashed, hash(key)) || bytes.Equal(hashed, hash([]byte("another key, too"))) {
			t.Error("hashes do not follow from the key")
		}
		_, all := records(t, hashed)
		for _, r := range all {
			if r.Request != nil && (strings.HasPrefix(r.Request.Volume, "v") || len(r.Request.ID) != hashedName || r.Request.Volume == r.Request.Key) {
				t.Fatalf("%+v", r.Request)
			}
		}
	}
	c, err := NewReader(bytes.NewReader(captured(t, day(t, 1, 20, 1<<20))))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Hash(c, []byte("short")); err == nil {
		t.Error("a short key was taken")
	}
}

// BenchmarkHash is what one name costs.
func BenchmarkHash(b *testing.B) {
	h := hasher{[]byte("a key of sixteen")}
	for b.Loop() {
		h.id("7e733352ff0572b0")
	}
}
