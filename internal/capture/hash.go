package capture

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"reachpulley/scheduler"
)

// LeastKey is the length of a key for Hash, in bytes, below which names could be found by trying all keys.
const LeastKey = 16

// hashedName is how many hex digits stand for a name: two of a million names share them once in 300 million captures.
const hashedName = 24

// hasher replaces names by keyed hashes (HMAC, RFC 2104, with SHA-256), the same one for the same name. Each kind of name has hashes of its own, so that a volume
// and a key of one name can't be told to be one.
type hasher struct{ key []byte }

func (h hasher) name(kind, name string) string {
	if name == "" {
		return ""
	}
	mac := hmac.New(sha256.New, h.key)
	io.WriteString(mac, kind+"\x00"+name)
	return hex.EncodeToString(mac.Sum(nil))[:hashedName]
}

func (h hasher) id(name string) string     { return h.name("id", name) }
func (h hasher) volume(name string) string { return h.name("volume", name) }
func (h hasher) data(name string) string   { return h.name("key", name) }

// Hash copies a capture with its ids, volumes and keys replaced by keyed hashes. Nodes keep their names. No decision goes by the order or content of a
// name, so the copy replays as the original does; the order in which snapshots list volumes and keys follows the new names.
func Hash(c *Reader, key []byte) ([]byte, error) {
	if len(key) < LeastKey {
		return nil, fmt.Errorf("the key has %d bytes, less than %d", len(key), LeastKey)
	}
	h := hasher{key}
	var records []Record
	for {
		r, err := c.Next()
		if errors.Is(err, io.EOF) {
			return Compress(c.Head, records)
		}
		if err != nil {
			return nil, err
		}
		if err := h.record(r, c.Head.Settings); err != nil {
			return nil, err
		}
		records = append(records, *r)
	}
}

func (h hasher) record(r *Record, settings scheduler.Settings) error {
	if r.ID != "" {
		r.ID = h.id(r.ID)
	}
	if r.Request != nil {
		h.request(r.Request)
	}
	if r.Outcome != nil {
		r.Outcome.ID = h.id(r.Outcome.ID)
	}
	if r.Learned != nil {
		h.learned(r.Learned)
	}
	if r.State == nil {
		return nil
	}
	state, err := h.state(r.State, settings)
	r.State = state
	return err
}

func (h hasher) request(q *scheduler.Request) {
	q.ID, q.Volume, q.Key = h.id(q.ID), h.volume(q.Volume), h.data(q.Key)
}

func (h hasher) learned(l *scheduler.LearnedState) {
	for i := range l.Volumes {
		l.Volumes[i].Name = h.volume(l.Volumes[i].Name)
	}
	for i := range l.Keys {
		l.Keys[i].Key = h.data(l.Keys[i].Key)
	}
}

// state gives a state with other names, its parts in the order that it has with them: a Scheduler that goes on from it says which.
func (h hasher) state(s *scheduler.Snapshot, settings scheduler.Settings) (*scheduler.Snapshot, error) {
	for i := range s.Volumes {
		s.Volumes[i].Name = h.volume(s.Volumes[i].Name)
	}
	for i := range s.Requests {
		h.request(&s.Requests[i].Request)
	}
	for i := range s.OrderedKeys {
		s.OrderedKeys[i].Key = h.data(s.OrderedKeys[i].Key)
	}
	for i := range s.Rejected {
		s.Rejected[i].Volume, s.Rejected[i].Key = h.volume(s.Rejected[i].Volume), h.data(s.Rejected[i].Key)
	}
	h.learned(&s.Restored)
	one, err := scheduler.Resume(settings, s, actionRecorder{func(Record) {}})
	if err != nil {
		return nil, err
	}
	return one.Snapshot(), nil
}
