package httpfront

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"reachpulley/decide"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
	"reachpulley/internal/rules/live"
)

// decisive are the headers by which is decided; two of a kind would leave open which one holds.
var decisive = [...]string{httpmsg.IDHeader, httpmsg.ClassHeader, httpmsg.PlanHeader, httpmsg.DeadlineHeader,
	httpmsg.PlacementHeader, httpmsg.KeyHeader}

// frontName is how rules call this front.
const frontName = "http"

// take finds out what the decisions need to know of a request, by the platform's headers and by the rules, and asks the
// limits. What the rules gave is put into header, which goes to the node. What is held must be ended; it may be nil.
func (t *transport) take(r *http.Request, header http.Header, now time.Time) (decide.Request, time.Duration, *live.Request, error) {
	for _, name := range decisive {
		if len(r.Header[name]) > 1 {
			return decide.Request{}, 0, nil, fmt.Errorf("%s: is there more than once", name)
		}
	}
	if t.rules == nil || !t.rules.InForce() {
		q, patience, err := t.facts(r, nil, header)
		return q, patience, nil, err
	}
	held, res, err := t.rules.Begin(seen(r, now))
	if err != nil {
		return decide.Request{}, 0, held, err
	}
	if held == nil { // no rules are in force
		q, patience, err := t.facts(r, nil, header)
		return q, patience, nil, err
	}
	q, patience, err := t.facts(r, &res, header)
	if err == nil {
		err = held.Take(t.set.Classes[q.Class].Name, t.set.Plans[q.Plan].Name, q.Volume)
	}
	return q, patience, held, err
}

// seen is what rules see of a request.
func seen(r *http.Request, now time.Time) *expression.Facts {
	return &expression.Facts{Method: r.Method, Path: r.URL.Path, Query: r.URL.Query(), Host: r.Host,
		Header: r.Header, Length: int(max(0, r.ContentLength)), Client: clientOf(r), Front: frontName, Arrival: now}
}

// Who tells who is behind a request: by the rules, or its address.
func (f *Front) Who(r *http.Request) string {
	if f.rules != nil && f.rules.InForce() {
		if who := f.rules.Who(seen(r, time.Now())); who != "" {
			return who
		}
	}
	return clientOf(r)
}

func clientOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// platforms tells whether a request bears any of the platform's headers. What such a one leaves out of class and plan is
// not filled in: leaving a header out must not raise anybody.
func platforms(h http.Header) bool {
	for _, name := range [...]string{httpmsg.IDHeader, httpmsg.ClassHeader, httpmsg.PlanHeader, httpmsg.PlacementHeader} {
		if h.Get(name) != "" {
			return true
		}
	}
	return false
}

// none is what rules give where there are none.
var none rules.Result

// facts puts together what the platform's headers and the rules say. The headers go first, unless a rule is to win.
func (t *transport) facts(r *http.Request, res *rules.Result, header http.Header) (q decide.Request, patience time.Duration, err error) {
	platform := true
	if res == nil {
		res = &none
	} else {
		platform = platforms(r.Header)
	}
	if q.ID = r.Header.Get(httpmsg.IDHeader); q.ID == "" {
		if platform {
			return q, 0, fmt.Errorf("%s is missing", httpmsg.IDHeader)
		}
		q.ID = t.newID()
		header.Set(httpmsg.IDHeader, q.ID)
	}
	if q.Class, err = t.word(r, res, rules.Class, platform, httpmsg.ClassHeader, "class", t.classes, res.Class); err != nil {
		return q, 0, err
	}
	if q.Plan, err = t.word(r, res, rules.Plan, platform, httpmsg.PlanHeader, "plan", t.plans, res.Plan); err != nil {
		return q, 0, err
	}
	class := t.set.Classes[q.Class]
	if res.Has[rules.Class] && rules.Writes(r.Method) && !class.Writes {
		// The file left the method open. A write that counted as a read would be repeated freely.
		return q, 0, fmt.Errorf("rule %s: class %q only reads, and %s writes", res.By[rules.Class].Name, class.Name, r.Method)
	}
	if err = t.where(r, res, &q); err != nil {
		return q, 0, err
	}
	given := r.Header.Get(httpmsg.DeadlineHeader)
	switch {
	case res.Use(rules.Deadline, given != ""):
		patience = res.Deadline
	case given == "" && !platform:
		patience = class.Deadline
	default:
		if patience, err = httpmsg.ParseDeadline(given); err != nil {
			return q, 0, err
		}
	}
	if err = t.placement(r, res, platform, &q); err != nil {
		return q, 0, err
	}
	key := r.Header.Get(httpmsg.KeyHeader)
	if res.Use(rules.Idempotency, key != "") {
		key = res.Idempotency
		header.Set(httpmsg.KeyHeader, key)
	}
	switch most := t.set.Sizes.MostUnits; {
	case most > 0 && q.Units > most:
		return q, 0, fmt.Errorf("%s: %v units are more than the largest request's %v", httpmsg.PlacementHeader, q.Units, most)
	case class.Repeats == decide.Keyed && key == "": // a repeat would not be known as one
		return q, 0, fmt.Errorf("%s is missing, which class %q needs", httpmsg.KeyHeader, class.Name)
	}
	if !platform { // nodes hear what the decisions went by
		header.Set(httpmsg.ClassHeader, class.Name)
		header.Set(httpmsg.PlanHeader, t.set.Plans[q.Plan].Name)
		header.Set(httpmsg.PlacementHeader, "units="+strconv.FormatFloat(q.Units, 'g', -1, 64)+",shard="+strconv.Itoa(q.Shard)+
			",hosts="+strconv.Itoa(q.Hosts))
	}
	// Nobody waits for longer than the class does, whatever a client says.
	return q, min(patience, class.Deadline), nil
}

// word finds a class or plan.
func (t *transport) word(r *http.Request, res *rules.Result, f rules.Field, platform bool, name, kind string, known map[string]int, ruled int) (int, error) {
	given := r.Header.Get(name)
	if res.Use(f, given != "") && (!platform || res.By[f].Wins) {
		return ruled, nil
	}
	number, ok := known[given]
	switch {
	case ok:
		return number, nil
	case given == "" && !platform:
		return 0, fmt.Errorf("no rule tells the %s of this request, and %s is missing", kind, name)
	}
	return 0, fmt.Errorf("%s: unknown %s %q", name, kind, given)
}

// where finds volume and key.
func (t *transport) where(r *http.Request, res *rules.Result, q *decide.Request) error {
	var ok bool
	q.Volume, q.Key, ok = splitPath(r.URL.Path)
	volume, key := res.Use(rules.Volume, ok), res.Use(rules.Key, ok)
	if volume {
		q.Volume = res.Volume
	}
	if key {
		q.Key = res.Key
	}
	if !ok && !(volume && key) {
		return errors.New("path: want a volume and a piece of data, 16 hex digits each")
	}
	return nil
}

// placement finds units, shard and hosts.
func (t *transport) placement(r *http.Request, res *rules.Result, platform bool, q *decide.Request) (err error) {
	given := r.Header.Get(httpmsg.PlacementHeader)
	q.Hosts = 1
	if given != "" || platform {
		if q.Units, q.Shard, q.Hosts, err = httpmsg.ParsePlacement(given); err != nil {
			return err
		}
	}
	if res.Use(rules.Units, given != "") {
		q.Units = res.Units
	}
	if res.Use(rules.Shard, given != "") {
		q.Shard = res.Shard
	}
	if res.Use(rules.Hosts, given != "") {
		q.Hosts = res.Hosts
	}
	// Where the data is can't be guessed, nor how much work it is.
	for _, f := range [...]rules.Field{rules.Units, rules.Shard} {
		if given == "" && !res.Has[f] {
			return fmt.Errorf("no rule tells the %s of this request, and %s is missing", f, httpmsg.PlacementHeader)
		}
	}
	return nil
}

// splitPath takes the volume and the piece of data from the end of a path.
func splitPath(path string) (volume, key string, ok bool) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return "", "", false
	}
	volume, key = parts[len(parts)-2], parts[len(parts)-1]
	return volume, key, rules.IsID(volume) && rules.IsID(key)
}
