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

// MinHashKey is the minimum length in bytes of a key for Hash. With a shorter key, the names could be found by trying
// all keys.
const MinHashKey = 16

// hashLength is the number of hex digits that replace a name. The probability that among a million names two have the
// same digits is below 1e-17.
const hashLength = 24

// Hash returns a copy of a capture in which the IDs of requests, the volumes and the data keys are replaced by keyed
// hashes. All else stays as it is, including the names of nodes and operations and the texts of log lines and notes. No
// decision depends on the order or the content of a hashed name, so the copy replays as the original does. Only the
// order in which snapshots list volumes and data keys follows the new names.
func Hash(r *Reader, key []byte) ([]byte, error) {
	if len(key) < MinHashKey {
		return nil, fmt.Errorf("capture: hash key has %d bytes, less than the minimum of %d", len(key), MinHashKey)
	}
	h := hasher{key}
	var records []Record
	for {
		record, err := r.Next()
		if errors.Is(err, io.EOF) {
			return Compress(r.Head, records)
		}
		if err != nil {
			return nil, err
		}
		if err := h.hashRecord(record, r.Head.Settings); err != nil {
			return nil, err
		}
		records = append(records, *record)
	}
}

// hasher replaces names by keyed hashes (HMAC, RFC 2104, with SHA-256). A name always has the same hash. The kind of a
// name is hashed with it, so that nobody can see that a volume and a data key have the same name.
type hasher struct{ key []byte }

func (h hasher) hash(kind, name string) string {
	if name == "" {
		return ""
	}
	mac := hmac.New(sha256.New, h.key)
	io.WriteString(mac, kind+"\x00"+name)
	return hex.EncodeToString(mac.Sum(nil))[:hashLength]
}

func (h hasher) id(name string) string      { return h.hash("id", name) }
func (h hasher) volume(name string) string  { return h.hash("volume", name) }
func (h hasher) dataKey(name string) string { return h.hash("key", name) }

// hashRecord replaces the names in a record.
func (h hasher) hashRecord(r *Record, settings scheduler.Settings) error {
	if r.ID != "" {
		r.ID = h.id(r.ID)
	}
	if r.Request != nil {
		h.hashRequest(r.Request)
	}
	if r.Outcome != nil {
		r.Outcome.ID = h.id(r.Outcome.ID)
	}
	if r.Learned != nil {
		h.hashLearned(r.Learned)
	}
	if r.State == nil {
		return nil
	}
	state, err := h.hashState(r.State, settings)
	r.State = state
	return err
}

func (h hasher) hashRequest(request *scheduler.Request) {
	request.ID = h.id(request.ID)
	request.Volume = h.volume(request.Volume)
	request.Key = h.dataKey(request.Key)
}

func (h hasher) hashLearned(learned *scheduler.LearnedState) {
	for i := range learned.Volumes {
		learned.Volumes[i].Name = h.volume(learned.Volumes[i].Name)
	}
	for i := range learned.Keys {
		learned.Keys[i].Key = h.dataKey(learned.Keys[i].Key)
	}
}

// hashState replaces the names in a state and returns the state with its volumes and keys in the order of the new
// names. That is the order of a snapshot of a Scheduler that is resumed from the state.
func (h hasher) hashState(state *scheduler.Snapshot, settings scheduler.Settings) (*scheduler.Snapshot, error) {
	for i := range state.Volumes {
		state.Volumes[i].Name = h.volume(state.Volumes[i].Name)
	}
	for i := range state.Requests {
		h.hashRequest(&state.Requests[i].Request)
	}
	for i := range state.OrderedKeys {
		state.OrderedKeys[i].Key = h.dataKey(state.OrderedKeys[i].Key)
	}
	for i := range state.Rejected {
		rejected := &state.Rejected[i]
		rejected.Volume = h.volume(rejected.Volume)
		rejected.Key = h.dataKey(rejected.Key)
	}
	h.hashLearned(&state.Restored)
	discard := RecordActions(func(Record) {})
	resumed, err := scheduler.Resume(settings, state, discard)
	if err != nil {
		return nil, err
	}
	return resumed.Snapshot(), nil
}
