package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"reachpulley/scheduler"
)

// ErrGap says that records of a capture were lost.
var ErrGap = errors.New("records were lost")

// Replay replays a whole capture and returns the number of events. The error is a *Difference if the replay does
// something else than was recorded, and ErrGap if it does not but records were lost.
func Replay(r *Reader) (events int, err error) {
	player := NewPlayer(r)
	for {
		_, err := player.Next()
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			break
		}
		return player.played, err
	}
	if player.Gaps > 0 {
		return player.played, fmt.Errorf("%w: %d gaps, %d records", ErrGap, player.Gaps, player.Lost)
	}
	return player.played, nil
}

// At replays a capture up to a time, from the nearest snapshot before it, and returns the state at that time. It reads
// the source twice.
func At(source io.ReadSeeker, at time.Duration) (*scheduler.Snapshot, error) {
	reader, err := NewReader(source)
	if err != nil {
		return nil, err
	}
	start := reader.findLastStart(at)
	if start < 0 {
		return nil, fmt.Errorf("nothing is recorded by %v", at)
	}
	if err := reader.seek(source, start); err != nil {
		return nil, err
	}
	return NewPlayer(reader).stateAt(at)
}

// findLastStart returns the offset of the last frame up to a time at which a replay can begin, or -1 if there is none.
// Errors end the search: it does not matter if the file is damaged behind the place that is looked for.
func (r *Reader) findLastStart(at time.Duration) (offset int64) {
	offset = -1
	for {
		found, err := r.skipToPart()
		if err != nil || !found {
			return offset
		}
		candidate := r.offset
		record, err := r.Next()
		for err == nil && record.Kind == KindGap {
			record, err = r.Next()
		}
		if err != nil || record.At > at {
			return offset
		}
		offset = candidate
	}
}

// stateAt replays up to a time and returns the state then.
func (p *Player) stateAt(at time.Duration) (*scheduler.Snapshot, error) {
	for {
		event, err := p.nextEvent()
		if err == nil && event.At <= at {
			_, err = p.Next()
			if err == nil {
				continue
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if p.scheduler == nil {
			return nil, fmt.Errorf("%w: no snapshot between the gap and %v", ErrGap, at)
		}
		return p.scheduler.Snapshot(), nil
	}
}
