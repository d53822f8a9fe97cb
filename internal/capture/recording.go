package capture

import "time"

// Recording holds the parts that a Recorder had in memory at one time. It shares their memory with the Recorder, which
// is safe because a Recorder only appends to a part. The memory of a part that the Recorder has dropped is not freed
// while a Recording refers to it.
type Recording struct {
	head  Head
	parts [][]byte
	lost  int // records that were lost after the last part
}

// Recording returns the parts that are in memory now.
func (r *Recorder) Recording() Recording {
	parts := make([][]byte, 0, len(r.completed)+1)
	parts = append(parts, r.completed...)
	parts = append(parts, r.part[:len(r.part):len(r.part)])
	return Recording{head: r.head, parts: parts, lost: r.lost}
}

// recordingFrom returns a Recording of the parts in memory that hold the records from the time from on.
func (r *Recorder) recordingFrom(from time.Duration) Recording {
	recording := r.Recording()
	for i := 1; i < len(r.startedAt) && r.startedAt[i] <= from; i++ {
		recording.parts = recording.parts[1:]
	}
	return recording
}

// File returns the recording as a capture file with one block for each part. If records were lost after the
// last part, the file ends with a gap that gives their number.
func (r Recording) File() ([]byte, error) {
	out, err := EncodeHeader(&r.head)
	if err != nil {
		return nil, err
	}
	for _, part := range r.parts {
		out = AppendBlock(out, part, true)
	}
	if r.lost == 0 {
		return out, nil
	}
	return appendFrame(out, Record{Kind: KindGap, Lost: r.lost})
}
