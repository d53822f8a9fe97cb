package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// maxListBytes is the maximum size of one list of a watch, in bytes.
const maxListBytes = 1 << 20

// errWatchIdle ends a watch that has received nothing for watchIdleTimeout.
var errWatchIdle = errors.New("discovery watch: no data received for " + watchIdleTimeout.String())

// watch receives the changes of the list since version seq and applies them. It returns when the watch cannot be
// opened, when the response has ended, has a malformed or too long list, or has brought nothing for watchIdleTimeout,
// and when the context of the source has ended. The error is the reason.
func (c *Client) watch(from source, seq int64) error {
	ctx, cancel := context.WithCancelCause(from.ctx)
	defer cancel(nil)
	body, err := c.openWatch(ctx, from.address, seq)
	if err != nil {
		return err
	}
	defer body.Close()
	// A machine that loses its network leaves the connection open and sends nothing.
	idleTimer := time.AfterFunc(watchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
	reader := &idleTimeoutReader{Reader: body, timer: idleTimer}
	lists := json.NewDecoder(reader) // a list may span several lines, so they cannot be read line by line
	for {
		reader.remaining = maxListBytes
		var text json.RawMessage
		if err := lists.Decode(&text); err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		list, err := ParseList(text)
		if err != nil {
			return err
		}
		kind := scheduler.DeltaList
		if list.Whole {
			kind = scheduler.FullList
		}
		c.apply(from.ctx, list, kind, seq)
	}
}

// openWatch sends the request of a watch and returns the response's body, which the caller closes.
func (c *Client) openWatch(ctx context.Context, address string, seq int64) (io.ReadCloser, error) {
	url := "http://" + address + httpmsg.EndpointsPath + "?stream=1&index=" + strconv.FormatInt(seq, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("discovery at %q: unexpected status %d", address, response.StatusCode)
	}
	return response.Body, nil
}

// idleTimeoutReader restarts the idle timer with every read that returns data: even an empty line or a part of a list
// shows that the watch is alive. It fails once a list is too long.
type idleTimeoutReader struct {
	io.Reader
	timer     *time.Timer
	remaining int // number of bytes that may still be read for the current list
}

func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(watchIdleTimeout)
	}
	r.remaining -= n
	if r.remaining < 0 {
		return 0, fmt.Errorf("discovery watch: list is longer than %d bytes", maxListBytes)
	}
	return n, err
}
