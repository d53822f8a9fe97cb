package simulation

import (
	"time"

	"reachpulley/scheduler"
)

// stormClient is a client that sends one request after another. A try is one submission of a request, up to its answer
// or the client timeout. If a try was not served, the client submits the request again at once, or after the answer's
// RetryAfter, until it has made Storm.Tries tries. Before its next request, it waits for a random think time.
type stormClient struct {
	run     *stormRun
	gateway *Gateway
	tries   int // how often the current request was submitted
	shard   int // shard of the current request
}

// second returns the result's element for the current second.
func (c *stormClient) second() *StormSecond {
	return secondAt(c.run.result.Seconds, c.run.simulation.Now-c.run.began)
}

// try submits the current request again, or a new request if the last one has ended.
func (c *stormClient) try() {
	s := c.run.simulation
	if c.tries == 0 {
		c.shard = s.Random.IntN(c.run.storm.Nodes)
	}
	c.tries++
	c.second().Submitted++
	timeout := stormSettings.Classes[0].Deadline
	answered := false
	id := c.gateway.Submit(scheduler.Request{
		Volume:        "v",
		Key:           c.newKey(),
		Units:         1,
		Shard:         c.shard,
		Hosts:         c.run.storm.Gateways,
		ClientTimeout: timeout,
	}, func(answer Answer) {
		if !answered {
			answered = true
			c.end(answer)
		}
	})
	s.After(timeout, func() {
		if !answered {
			answered = true
			c.gateway.Scheduler.ClientDisconnected(s.Now, id)
			c.end(Answer{Verdict: Failed})
		}
	})
}

// newKey returns a random data key for a try. It very likely differs from that of the last try, so the scheduler does
// not recognize the try as a retry.
func (c *stormClient) newKey() string { return string(rune(c.run.simulation.Random.IntN(1 << 20))) }

// end counts the outcome of a try and schedules the next one.
func (c *stormClient) end(answer Answer) {
	switch answer.Verdict {
	case Served:
		c.second().Served++
	case Rejected:
		c.second().Rejected++
	case Failed:
		c.second().Failed++
	}
	s := c.run.simulation
	if answer.Verdict != Served && c.tries < c.run.storm.Tries {
		s.After(answer.RetryAfter, c.try)
		return
	}
	c.tries = 0
	s.After(time.Duration(s.Random.ExpFloat64()*float64(c.run.storm.MeanThinkTime)), c.try)
}
