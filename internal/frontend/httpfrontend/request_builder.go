package httpfrontend

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules"
	"reachpulley/scheduler"
)

// noRules is the result for requests while no rules are in force.
var noRules rules.Result

// requestBuilder determines the facts of one request from all sources that may state them. Each fact is taken from the
// first of these sources that states it:
//
//  1. a rule that overrides the platform's headers;
//  2. the platform's header or, for the volume and the data key, the end of the path;
//  3. any other rule;
//  4. the contract of the operation or, for the plan, Options.DefaultPlan.
//
// The retry policy is an exception: it is the class's policy narrowed by the contract's, whichever source assigned the
// class.
type requestBuilder struct {
	frontend *Frontend
	http     *http.Request
	header   http.Header // header of the request to the node
	rules    *rules.Result
	contract *contracts.Match // nil: no contracts are in force

	// fromPlatform is set for requests that have headers of the platform (see hasPlatformHeaders), and for all requests
	// while neither rules nor contracts are in force. Such a request is rejected if it leaves out the header for its
	// ID or placement, for its class or plan unless a rule overrides that header, or for its deadline unless a rule
	// sets one.
	fromPlatform bool
}

// build determines all facts of a request, and how long its client waits. The first error tells the client what is
// missing or wrong.
func (b *requestBuilder) build(request *scheduler.Request) (clientTimeout time.Duration, err error) {
	if request.ID, err = b.id(); err != nil {
		return 0, err
	}
	if b.contract != nil {
		request.Operation = b.contract.Name
		request.RetryPolicy = b.contract.RetryPolicy
	}
	if err = b.setClassAndPlan(request); err != nil {
		return 0, err
	}
	class := &b.frontend.settings.Classes[request.Class]
	if err = b.checkClassAllowsMethod(class); err != nil {
		return 0, err
	}
	fromContract, err := b.contractPlacement()
	if err != nil {
		return 0, err
	}
	if err = b.setVolumeAndKey(request, fromContract); err != nil {
		return 0, err
	}
	if clientTimeout, err = b.clientTimeout(class); err != nil {
		return 0, err
	}
	if err = b.setPlacement(request, fromContract); err != nil {
		return 0, err
	}
	if err = b.ensureIdempotencyKey(request, class); err != nil {
		return 0, err
	}
	if !b.fromPlatform {
		b.addPlatformHeaders(request, class)
	}
	return clientTimeout, nil
}

// id returns the request's ID. A request without one gets a new ID, or is rejected if it is from the platform.
func (b *requestBuilder) id() (string, error) {
	if id := b.http.Header.Get(httpmsg.IDHeader); id != "" {
		return id, nil
	}
	if b.fromPlatform {
		return "", fmt.Errorf("%s is missing", httpmsg.IDHeader)
	}
	id := b.frontend.newID()
	b.header.Set(httpmsg.IDHeader, id)
	return id, nil
}

// namedFact holds the sources of a request's class or plan. Headers state it by name; requests hold its index in the
// settings.
type namedFact struct {
	field     rules.Field
	header    string
	kind      string         // "class" or "plan", for error messages
	index     map[string]int // index in the settings by name
	fromRules int            // index in the settings that a rule set, used only if one applies (see resolve)
	fallback  int            // index if no other source states one; -1: none
}

// setClassAndPlan determines the class and the plan.
func (b *requestBuilder) setClassAndPlan(request *scheduler.Request) (err error) {
	class := namedFact{
		field:     rules.Class,
		header:    httpmsg.ClassHeader,
		kind:      "class",
		index:     b.frontend.classes,
		fromRules: b.rules.Class,
		fallback:  -1,
	}
	plan := namedFact{
		field:     rules.Plan,
		header:    httpmsg.PlanHeader,
		kind:      "plan",
		index:     b.frontend.plans,
		fromRules: b.rules.Plan,
		fallback:  -1,
	}
	if b.contract != nil {
		class.fallback = b.contract.Class
		plan.fallback = b.frontend.defaultPlan
	}
	if request.Class, err = b.resolve(class); err != nil {
		return err
	}
	request.Plan, err = b.resolve(plan)
	return err
}

// resolve returns the index of a class or plan in the settings.
func (b *requestBuilder) resolve(fact namedFact) (int, error) {
	given := b.http.Header.Get(fact.header)
	if b.rules.Applies(fact.field, given != "") && (!b.fromPlatform || b.rules.SetBy[fact.field].OverridesHeaders) {
		return fact.fromRules, nil
	}
	index, known := fact.index[given]
	switch {
	case known:
		return index, nil
	case given == "" && !b.fromPlatform && fact.fallback >= 0:
		return fact.fallback, nil
	case given == "" && !b.fromPlatform:
		return 0, fmt.Errorf("nothing tells the %s of this request, and %s is missing", fact.kind, fact.header)
	}
	return 0, fmt.Errorf("%s: unknown %s %q", fact.header, fact.kind, given)
}

// checkClassAllowsMethod rejects a write whose class is for reads if a rule sets a class for it, since the write would
// be retried as freely as a read. It does so even if the class comes from the header. A rule may apply to any method,
// so this cannot be checked before a request arrives.
func (b *requestBuilder) checkClassAllowsMethod(class *scheduler.Class) error {
	if b.rules.Has[rules.Class] && rules.Writes(b.http.Method) && !class.Writes {
		rule := b.rules.SetBy[rules.Class].Name
		return fmt.Errorf("rule %s: class %q only reads, and %s writes", rule, class.Name, b.http.Method)
	}
	return nil
}

// contractPlacement returns what the contract states about the data's location and the size of the work. The result is
// empty if there is no contract.
func (b *requestBuilder) contractPlacement() (catalog.Placement, error) {
	if b.contract == nil {
		return catalog.Placement{}, nil
	}
	maxUnits := b.frontend.settings.Sizes.MaxUnits
	return b.contract.Placement(&b.contract.Call, b.contract.Parameters, bodyLength(b.http), maxUnits)
}

// setVolumeAndKey determines the volume and the data key. The platform's requests have them at the end of their path.
func (b *requestBuilder) setVolumeAndKey(request *scheduler.Request, fromContract catalog.Placement) error {
	volume, key, inPath := splitPath(b.http.URL.Path)
	hasVolume, hasKey := inPath, inPath
	if b.rules.Applies(rules.Volume, inPath) {
		volume, hasVolume = b.rules.Volume, true
	}
	if b.rules.Applies(rules.Key, inPath) {
		key, hasKey = b.rules.Key, true
	}
	if !hasVolume && fromContract.Volume != "" {
		volume, hasVolume = fromContract.Volume, true
	}
	if !hasKey && fromContract.Data != "" {
		key, hasKey = fromContract.Data, true
	}
	if !hasVolume || !hasKey {
		return errors.New("path: want a volume and a piece of data, 16 hex digits each")
	}
	request.Volume = volume
	request.Key = key
	return nil
}

// splitPath returns the volume and the data key at the end of a path. It reports whether the path ends in both.
func splitPath(path string) (volume, key string, ok bool) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return "", "", false
	}
	volume, key = parts[len(parts)-2], parts[len(parts)-1]
	return volume, key, rules.IsID(volume) && rules.IsID(key)
}

// clientTimeout returns how long the client waits for its answer. It is at most the deadlines of the class and of the
// operation, whatever the client or a rule states.
func (b *requestBuilder) clientTimeout(class *scheduler.Class) (time.Duration, error) {
	longest := class.Deadline
	if b.contract != nil && b.contract.Deadline() > 0 {
		longest = min(longest, b.contract.Deadline())
	}
	given := b.http.Header.Get(httpmsg.DeadlineHeader)
	if b.rules.Applies(rules.Deadline, given != "") {
		return min(b.rules.Deadline, longest), nil
	}
	if given == "" && !b.fromPlatform {
		return longest, nil
	}
	timeout, err := httpmsg.ParseDeadline(given)
	if err != nil {
		return 0, err
	}
	return min(timeout, longest), nil
}

// setPlacement determines units, shard and hosts. Units and shard have no default, since they state how much work the
// request is and which nodes hold its data. The default of hosts is 1.
func (b *requestBuilder) setPlacement(request *scheduler.Request, fromContract catalog.Placement) error {
	header := b.http.Header.Get(httpmsg.PlacementHeader)
	given := header != ""
	request.Hosts = 1
	if given || b.fromPlatform {
		placement, err := httpmsg.ParsePlacement(header)
		if err != nil {
			return err
		}
		request.Units = placement.Units
		request.Shard = placement.Shard
		request.Hosts = placement.Hosts
	}
	hasUnits, hasShard := given, given
	if b.rules.Applies(rules.Units, given) {
		request.Units, hasUnits = b.rules.Units, true
	}
	if b.rules.Applies(rules.Shard, given) {
		request.Shard, hasShard = b.rules.Shard, true
	}
	if b.rules.Applies(rules.Hosts, given) {
		request.Hosts = b.rules.Hosts
	}
	if !hasUnits && fromContract.Units > 0 {
		request.Units, hasUnits = fromContract.Units, true
	}
	if !hasShard && fromContract.HasShard {
		request.Shard, hasShard = fromContract.Shard, true
	}
	maxUnits := b.frontend.settings.Sizes.MaxUnits
	switch {
	case !hasUnits:
		return fmt.Errorf("nothing tells the units of this request, and %s is missing", httpmsg.PlacementHeader)
	case !hasShard:
		return fmt.Errorf("nothing tells the shard of this request, and %s is missing", httpmsg.PlacementHeader)
	case maxUnits > 0 && request.Units > maxUnits:
		return fmt.Errorf("%s: %v units are more than the largest request's %v",
			httpmsg.PlacementHeader, request.Units, maxUnits)
	}
	return nil
}

// ensureIdempotencyKey adds the idempotency key that the rules set, if there is one. It rejects a request that has no
// idempotency key although its retries need one: nodes recognise a retry by its key.
func (b *requestBuilder) ensureIdempotencyKey(request *scheduler.Request, class *scheduler.Class) error {
	key := b.http.Header.Get(httpmsg.IdempotencyKeyHeader)
	source := httpmsg.IdempotencyKeyHeader
	if b.rules.Applies(rules.Idempotency, key != "") {
		key = b.rules.Idempotency
		b.header.Set(httpmsg.IdempotencyKeyHeader, key)
	}
	policy := class.RetryPolicy().NarrowedBy(request.RetryPolicy)
	if policy.Idempotency != scheduler.IdempotentWithKey {
		return nil
	}
	if operation := b.operationWithKey(); operation != nil {
		// Nodes recognise retries of this operation by the key that its contract names, and by no other.
		source = operation.Key.String()
		if operation.Key.In != "header" || !strings.EqualFold(operation.Key.Name, httpmsg.IdempotencyKeyHeader) {
			key = b.contract.Key(&b.contract.Call, b.contract.Parameters)
		}
	}
	if key == "" {
		return fmt.Errorf("%s is missing, which class %q needs", source, class.Name)
	}
	return nil
}

// operationWithKey returns the operation of a request whose contract names the idempotency key; nil for others.
func (b *requestBuilder) operationWithKey() *contract.Operation {
	if b.contract == nil || b.contract.Operation == nil {
		return nil
	}
	if b.contract.Operation.Idempotency != contract.IdempotentWithKey {
		return nil
	}
	return b.contract.Operation
}

// addPlatformHeaders tells the node the class, plan and placement by which the request was scheduled.
func (b *requestBuilder) addPlatformHeaders(request *scheduler.Request, class *scheduler.Class) {
	placement := httpmsg.Placement{Units: request.Units, Shard: request.Shard, Hosts: request.Hosts}
	b.header.Set(httpmsg.ClassHeader, class.Name)
	b.header.Set(httpmsg.PlanHeader, b.frontend.settings.Plans[request.Plan].Name)
	b.header.Set(httpmsg.PlacementHeader, placement.String())
}
