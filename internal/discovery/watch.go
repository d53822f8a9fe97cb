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

// maxListBytes bounds one list of a watch.
const maxListBytes = 1 << 20

// errWatchIdle is how a watch ends that has received nothing for watchIdleTimeout.
var errWatchIdle = errors.New("watch timed out: no data received for " + watchIdleTimeout.String())

// watch follows the list from a version on, until the response ends or falls silent.
func (c *Client) watch(from source, seq int64) error {
	ctx, cancel := context.WithCancelCause(from.ctx)
	defer cancel(nil)
	body, err := c.openWatch(ctx, from.address, seq)
	if err != nil {
		return err
	}
	defer body.Close()
	// A machine that is cut off leaves the connection open and sends nothing.
	idleTimer := time.AfterFunc(watchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
	reader := &idleTimeoutReader{Reader: body, timer: idleTimer}
	lists := json.NewDecoder(reader) // a list may span several lines
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

// openWatch sends the request of a watch; the caller closes the body.
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
		return nil, fmt.Errorf("unexpected status %d", response.StatusCode)
	}
	return response.Body, nil
}

// idleTimeoutReader postpones a timer with every byte it reads: an empty line or a part of a list shows that the watch
// is alive. It fails once a list is too long.
type idleTimeoutReader struct {
	io.Reader
	timer     *time.Timer
	remaining int // bytes that the present list may still take
}

func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(watchIdleTimeout)
	}
	r.remaining -= n
	if r.remaining < 0 {
		return 0, fmt.Errorf("list is longer than %d bytes", maxListBytes)
	}
	return n, err
}
