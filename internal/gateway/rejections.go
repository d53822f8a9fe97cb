package gateway

import (
	"context"
	"time"

	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/intake"
)

const (
	// rejectionNoteInterval is how often captures get a note of what the HTTP frontend has rejected by itself.
	rejectionNoteInterval = time.Second
	// rejectionLogInterval is how often the same is logged, and which bounds connections have met.
	rejectionLogInterval = 10 * time.Second
)

// reportRejections reports, until ctx ends, which connections and requests were rejected, evicted or held back before
// the scheduler saw them. Neither a capture nor the decisions in the log of a time when clients cost the gateway much
// would show hardly any load otherwise.
func (g *gateway) reportRejections(ctx context.Context) {
	note := time.NewTicker(rejectionNoteInterval)
	defer note.Stop()
	write := time.NewTicker(rejectionLogInterval)
	defer write.Stop()
	var noted httpfrontend.Counts
	var logged rejections
	for {
		select {
		case <-ctx.Done():
			return
		case <-note.C:
			noted = g.noteRejections(noted)
		case <-write.C:
			logged = g.logRejections(logged)
		}
	}
}

// noteRejections notes in captures what the HTTP frontend has rejected since the last note. It returns the counts of
// this one.
func (g *gateway) noteRejections(last httpfrontend.Counts) httpfrontend.Counts {
	now := g.httpServer.Counts()
	if text := now.Since(last); text != "" && g.recording.files.enabled {
		g.loop.Note("HTTP frontend: " + text)
	}
	return now
}

// rejections count what was rejected, evicted or held back before the scheduler saw it.
type rejections struct {
	http   httpfrontend.Counts
	intake intake.Counts
}

// logRejections logs what has been rejected, evicted or held back since the last time. It returns the present counts.
func (g *gateway) logRejections(last rejections) rejections {
	now := rejections{http: g.httpServer.Counts(), intake: g.intake.Counts()}
	if now.http.Since(last.http) == "" && now.intake == last.intake {
		return now
	}
	g.log.Info("rejected before the scheduler",
		"connections_accepted", now.http.Accepted-last.http.Accepted,
		"connections_rejected", now.http.Rejected-last.http.Rejected,
		"connections_evicted", now.http.Evicted-last.http.Evicted,
		"requests_invalid", now.http.InvalidRequests-last.http.InvalidRequests,
		"requests_over_limit", now.http.RateLimited-last.http.RateLimited,
		"memory_lacked", now.intake.Lacked-last.intake.Lacked,
		"requests_evicted", now.intake.Evicted-last.intake.Evicted,
		"connections_paused", now.intake.Paused-last.intake.Paused,
		"memory_left", g.intake.Memory.Left())
	return now
}
