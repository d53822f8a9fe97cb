package httpfrontend

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/engine"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// decisive are the headers by which is decided; two of a kind would leave open which one holds.
var decisive = [...]string{httpmsg.IDHeader, httpmsg.ClassHeader, httpmsg.PlanHeader, httpmsg.DeadlineHeader,
	httpmsg.PlacementHeader, httpmsg.KeyHeader}

// frontName is how rules call this front.
const frontName = "http"

// taken is what a request holds from its begin to its end, and what nodes' answers to it mean.
type taken struct {
	ruled *engine.Request
	said  *contracts.Match
}

// End gives back what is held. It is called once, when the request is answered or its client has left.
func (t taken) End() {
	t.ruled.Release()
	t.said.Release()
}

// describe puts into a request what its back is told of its description; nothing where none are in force.
func (t taken) describe(to *httpmsg.Request, r *http.Request) {
	if t.said != nil {
		to.Statuses, to.Client = t.said.Entry, clientOf(r)
	}
}

// sources are all that tell of a request beside itself. What the request's own headers say goes first, then the rules, then the description of its
// operation; a rule may go before the headers. How far it may be repeated is the least that class and description allow, whoever named the class.
type sources struct {
	rules    *rules.Result
	said     *contracts.Match // nil: no descriptions are in force
	platform bool             // the request bears headers of the platform, so what it leaves out is not filled in
}

// take finds out what the decisions need to know of a request, and asks the limits. What rules and descriptions gave is put into header, which
// goes to the node. What is held must be ended, whatever the error.
func (t *transport) take(r *http.Request, header http.Header, now time.Time) (q scheduler.Request, patience time.Duration, held taken, err error) {
	for _, name := range decisive {
		if len(r.Header[name]) > 1 {
			return q, 0, held, fmt.Errorf("%s: is there more than once", name)
		}
	}
	from := sources{rules: &none, platform: true}
	if t.contracts.InForce() {
		if from.said, err = t.contracts.Begin(called(r)); err != nil {
			held.said = from.said
			return q, 0, held, err
		}
		held.said = from.said
	}
	if t.rules != nil && t.rules.InForce() {
		var res rules.Result
		held.ruled, res, err = t.rules.Begin(seen(r, now))
		if err != nil {
			return q, 0, held, err
		}
		from.rules = &res
	}
	if held.ruled != nil || held.said != nil {
		from.platform = platforms(r.Header)
	}
	if q, patience, err = t.facts(r, from, header); err == nil && held.ruled != nil {
		err = held.ruled.AcquireLimits(t.set.Classes[q.Class].Name, t.set.Plans[q.Plan].Name, q.Volume)
	}
	return q, patience, held, err
}

// called is what tells the operation of a request.
func called(r *http.Request) contract.Call {
	return contract.Call{Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Header: r.Header, Body: r.ContentLength > 0}
}

// seen is what rules see of a request.
func seen(r *http.Request, now time.Time) *expression.Facts {
	return &expression.Facts{Method: r.Method, Path: r.URL.Path, Query: r.URL.Query(), Host: r.Host,
		Header: r.Header, Length: int(max(0, r.ContentLength)), Client: clientOf(r), Front: frontName, Arrival: now}
}

// Who tells who is behind a request: by the rules, or its address.
func (f *Frontend) Who(r *http.Request) string {
	if f.rules != nil && f.rules.InForce() {
		if who := f.rules.Client(seen(r, time.Now())); who != "" {
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

// facts puts together what all sources say.
func (t *transport) facts(r *http.Request, from sources, header http.Header) (q scheduler.Request, patience time.Duration, err error) {
	res, platform := from.rules, from.platform
	if q.ID = r.Header.Get(httpmsg.IDHeader); q.ID == "" {
		if platform {
			return q, 0, fmt.Errorf("%s is missing", httpmsg.IDHeader)
		}
		q.ID = t.newID()
		header.Set(httpmsg.IDHeader, q.ID)
	}
	described, plan := -1, -1
	if from.said != nil {
		described, plan = from.said.Class, t.plan
		q.Operation, q.RetryPolicy = from.said.Name, from.said.RetryPolicy
	}
	if q.Class, err = t.word(r, from, rules.Class, httpmsg.ClassHeader, "class", t.classes, res.Class, described); err != nil {
		return q, 0, err
	}
	if q.Plan, err = t.word(r, from, rules.Plan, httpmsg.PlanHeader, "plan", t.plans, res.Plan, plan); err != nil {
		return q, 0, err
	}
	class := &t.set.Classes[q.Class]
	if res.Has[rules.Class] && rules.Writes(r.Method) && !class.Writes {
		// The file left the method open. A write that counted as a read would be repeated freely.
		return q, 0, fmt.Errorf("rule %s: class %q only reads, and %s writes", res.By[rules.Class].Name, class.Name, r.Method)
	}
	var place catalog.Placement
	if from.said != nil {
		if place, err = from.said.Placement(&from.said.Call, from.said.Parameters, int(max(0, r.ContentLength)), t.set.Sizes.MaxUnits); err != nil {
			return q, 0, err
		}
	}
	if err = t.where(r, from, place, &q); err != nil {
		return q, 0, err
	}
	if patience, err = t.patience(r, from, class); err != nil {
		return q, 0, err
	}
	if err = t.placement(r, from, place, &q); err != nil {
		return q, 0, err
	}
	if most := t.set.Sizes.MaxUnits; most > 0 && q.Units > most {
		return q, 0, fmt.Errorf("%s: %v units are more than the largest request's %v", httpmsg.PlacementHeader, q.Units, most)
	}
	if err = t.keyed(r, from, &q, class, header); err != nil {
		return q, 0, err
	}
	if !platform { // nodes hear what the decisions went by
		header.Set(httpmsg.ClassHeader, class.Name)
		header.Set(httpmsg.PlanHeader, t.set.Plans[q.Plan].Name)
		header.Set(httpmsg.PlacementHeader, "units="+strconv.FormatFloat(q.Units, 'g', -1, 64)+",shard="+strconv.Itoa(q.Shard)+
			",hosts="+strconv.Itoa(q.Hosts))
	}
	return q, patience, nil
}

// patience finds how long the client waits. Nobody waits for longer than the class does, or the operation, whatever a client says.
func (t *transport) patience(r *http.Request, from sources, class *scheduler.Class) (patience time.Duration, err error) {
	given := r.Header.Get(httpmsg.DeadlineHeader)
	most := class.Deadline
	if from.said != nil && from.said.Deadline() > 0 {
		most = min(most, from.said.Deadline())
	}
	switch {
	case from.rules.Use(rules.Deadline, given != ""):
		patience = from.rules.Deadline
	case given == "" && !from.platform:
		patience = most
	default:
		if patience, err = httpmsg.ParseDeadline(given); err != nil {
			return 0, err
		}
	}
	return min(patience, most), nil
}

// keyed sees to it that what may be repeated by its key alone has one: otherwise a repeat would not be known as one.
func (t *transport) keyed(r *http.Request, from sources, q *scheduler.Request, class *scheduler.Class, header http.Header) error {
	key, named := r.Header.Get(httpmsg.KeyHeader), httpmsg.KeyHeader
	if from.rules.Use(rules.Idempotency, key != "") {
		key = from.rules.Idempotency
		header.Set(httpmsg.KeyHeader, key)
	}
	if class.RetryPolicy().NarrowedBy(q.RetryPolicy).Idempotency != scheduler.IdempotentWithKey {
		return nil
	}
	if from.said != nil && from.said.Operation != nil && from.said.Operation.Idempotency == contract.IdempotentWithKey {
		// The node knows it by the key that its description names, and by no other.
		at := from.said.Operation.Key
		named = at.String()
		if at.In != "header" || !strings.EqualFold(at.Name, httpmsg.KeyHeader) {
			key = from.said.Key(&from.said.Call, from.said.Parameters)
		}
	}
	if key == "" {
		return fmt.Errorf("%s is missing, which class %q needs", named, class.Name)
	}
	return nil
}

// word finds a class or plan; described is what holds where nothing else says, and -1 nothing.
func (t *transport) word(r *http.Request, from sources, f rules.Field, name, kind string, known map[string]int, ruled, described int) (int, error) {
	given := r.Header.Get(name)
	if from.rules.Use(f, given != "") && (!from.platform || from.rules.By[f].Wins) {
		return ruled, nil
	}
	number, ok := known[given]
	switch {
	case ok:
		return number, nil
	case given == "" && !from.platform && described >= 0:
		return described, nil
	case given == "" && !from.platform:
		return 0, fmt.Errorf("nothing tells the %s of this request, and %s is missing", kind, name)
	}
	return 0, fmt.Errorf("%s: unknown %s %q", name, kind, given)
}

// where finds volume and key.
func (t *transport) where(r *http.Request, from sources, place catalog.Placement, q *scheduler.Request) error {
	var ok bool
	q.Volume, q.Key, ok = splitPath(r.URL.Path)
	volume, key := ok, ok
	if from.rules.Use(rules.Volume, ok) {
		q.Volume, volume = from.rules.Volume, true
	}
	if from.rules.Use(rules.Key, ok) {
		q.Key, key = from.rules.Key, true
	}
	if !volume && place.Volume != "" {
		q.Volume, volume = place.Volume, true
	}
	if !key && place.Data != "" {
		q.Key, key = place.Data, true
	}
	if !volume || !key {
		return errors.New("path: want a volume and a piece of data, 16 hex digits each")
	}
	return nil
}

// placement finds units, shard and hosts.
func (t *transport) placement(r *http.Request, from sources, place catalog.Placement, q *scheduler.Request) (err error) {
	given, res := r.Header.Get(httpmsg.PlacementHeader), from.rules
	q.Hosts = 1
	units, shard := given != "", given != ""
	if given != "" || from.platform {
		if q.Units, q.Shard, q.Hosts, err = httpmsg.ParsePlacement(given); err != nil {
			return err
		}
	}
	if res.Use(rules.Units, given != "") {
		q.Units, units = res.Units, true
	}
	if res.Use(rules.Shard, given != "") {
		q.Shard, shard = res.Shard, true
	}
	if res.Use(rules.Hosts, given != "") {
		q.Hosts = res.Hosts
	}
	if !units && place.Units > 0 {
		q.Units, units = place.Units, true
	}
	if !shard && place.HasShard {
		q.Shard, shard = place.Shard, true
	}
	// Where the data is can't be guessed, nor how much work it is.
	switch {
	case !units:
		err = fmt.Errorf("nothing tells the units of this request, and %s is missing", httpmsg.PlacementHeader)
	case !shard:
		err = fmt.Errorf("nothing tells the shard of this request, and %s is missing", httpmsg.PlacementHeader)
	}
	return err
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
