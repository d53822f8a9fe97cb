package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"reachpulley/scheduler"
)

// ErrGap says that records of a capture were lost.
var ErrGap = errors.New("capture: records were lost")

// Replay replays a whole capture and returns the number of events that were replayed. The error is a *Difference if an
// action or a state of the replay differs from the recorded one. If nothing differs but records were lost, the error is
// ErrGap.
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
		return player.replayedEvents, err
	}
	if player.Gaps > 0 {
		return player.replayedEvents, fmt.Errorf("%w: %d gaps with %d records", ErrGap, player.Gaps, player.Lost)
	}
	return player.replayedEvents, nil
}

// StateAt returns the Scheduler's state after all events up to the time at. It replays the capture from the last part
// that begins at or before that time, so it reads the source twice: to find that part, and to replay.
func StateAt(source io.ReadSeeker, at time.Duration) (*scheduler.Snapshot, error) {
	reader, err := NewReader(source)
	if err != nil {
		return nil, err
	}
	start := reader.findLastStart(at)
	if start < 0 {
		return nil, fmt.Errorf("capture: no snapshot at or before %v", at)
	}
	if err := reader.seek(source, start); err != nil {
		return nil, err
	}
	return NewPlayer(reader).stateAt(at)
}

// findLastStart returns the offset of the last block that begins a part at or before the time at, or -1 if there is
// none. An error ends the search and is ignored: damage after the block that is looked for does not matter.
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

// stateAt replays all events up to the time at and returns the state after them.
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
			return nil, fmt.Errorf("%w: no snapshot between the last gap and %v", ErrGap, at)
		}
		return p.scheduler.Snapshot(), nil
	}
}
