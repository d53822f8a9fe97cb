package capture

import "time"

// Options say what a Recorder records and who receives it.
type Options struct {
	Program string // version of the program, for readers of the capture
	// MaxBytes is the size of the records in memory, in bytes, beyond which the oldest parts are dropped. The current
	// part stays even if it alone is larger. A snapshot that is larger is not recorded.
	MaxBytes int
	Sink     Sink // receives all chunks; nil: records are kept in memory only
	// Triggers decides when a Recording is passed to OnTrigger. If it is nil, none is.
	Triggers Watcher
	// OnTrigger receives the recording of a trigger. It must not block.
	OnTrigger func(TriggerMatch, Recording)
	// OnCrash receives what is in memory when the event loop panics. It is called by the event loop, not by the
	// Recorder. If OnCrash is nil, the recording is dropped.
	OnCrash func(Recording)
	// Origin is the wall-clock time at which the Scheduler's clock reads 0. It is zero if that is not known.
	Origin time.Time
}

// Chunk is a piece of a part for a Sink. It consists of whole frames, and it does not change after it was offered.
type Chunk struct {
	Head       *Head
	Frames     []byte
	StartsPart bool // the chunk is the first one of its part, so a replay can begin with it
	Lost       int  // records that the Sink did not take since the last chunk that it took
	Records    int  // records in this chunk
}

// Sink takes chunks on their way to a disk.
type Sink interface {
	// Offer reports whether the chunk was taken. A chunk that is not taken is lost. Offer must not block.
	Offer(Chunk) bool
}

// Watcher reads all records and decides when a recording is taken for a trigger.
type Watcher interface {
	// Add takes a record; now is the time of the event that it belongs to.
	Add(r *Record, now time.Duration)
	// Due returns the triggers whose recordings are to be taken now. It is called before each event.
	Due(now time.Duration) []TriggerMatch
}

// TriggerMatch says which trigger asked for a recording and how far back that recording has to reach.
type TriggerMatch struct {
	Name string        // name of the trigger
	From time.Duration // time at which the recording has to begin at the latest
}
