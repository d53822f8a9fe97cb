package simprotocol

import (
	"encoding/json"
	"fmt"

	"reachpulley/scheduler"
)

// wireSettings is the JSON object with the settings in an init event. Other keys in it are ignored. All times are in
// milliseconds.
type wireSettings struct {
	Callers        struct{}     `json:"callers"` // only checked to be an object
	Allowed        wireAllowed  `json:"ceilings"`
	Classes        []wireClass  `json:"classes"`
	Rules          wireRules    `json:"contract"`
	Zones          []string     `json:"dcs"`
	Requests       wireRequests `json:"familyInfo"`
	MembershipMode string       `json:"membershipMode"`
	Plans          []wirePlan   `json:"policies"`
	Prices         struct {
		Probe float64 `json:"probe"`
		Waste float64 `json:"waste"`
	} `json:"prices"`
	LoadReports struct {
		Source string `json:"via"`
	} `json:"report"`
	Siblings int     `json:"siblings"`
	Tick     float64 `json:"tickMs"`
	Zone     int     `json:"zone"`
}

type wireAllowed struct {
	Cancel         bool    `json:"cancel"`
	IdleTimeout    float64 `json:"connIdleMs"`
	ConnectTimeout float64 `json:"dialTimeoutMs"`
	MaxAttempts    int     `json:"maxAttempts"`
	MaxRetryAfter  float64 `json:"maxRetryAfterMs"`
	Probes         bool    `json:"probes"`
	RetryAfter     bool    `json:"retryAfter"`
	HedgedRequests bool    `json:"secondCopies"`
}

type wireClass struct {
	LatencyObjective float64 `json:"aimMs"`
	ObjectiveStretch float64 `json:"aimStretch"`
	Deadline         float64 `json:"deadlineMs"`
	Idempotency      string  `json:"idempotency"`
	Ordered          bool    `json:"inTurn"`
	DedupScope       string  `json:"keyScope"`
	LateWeightShare  float64 `json:"lateShare"`
	Name             string  `json:"name"`
	PriorityWeight   float64 `json:"points"`
	Streamed         bool    `json:"stream"`
	DedupWindow      float64 `json:"windowMs"`
}

type wireRules struct {
	SlowStartShare        float64 `json:"coldFrom"`
	SlowStartMultiple     float64 `json:"fallMultiple"`
	DrainGrace            float64 `json:"drainGraceMs"`
	SlowStartWindow       float64 `json:"overloadForMs"`
	OrderedKeyQuietPeriod float64 `json:"turnGapMs"`
	SlowStartDuration     float64 `json:"warmWithinMs"`
	RetryBudgetBase       float64 `json:"minExtra"`
	RetryBudgetShare      float64 `json:"repeatRatio"`
	RetryBudgetWindow     float64 `json:"resendSpanMs"`
}

// wireRequests describes the requests that all clients send.
type wireRequests struct {
	Writes             []bool  `json:"changesData"` // whether requests write, in the order of wireSettings.Classes
	SpareWeight        float64 `json:"idleWorth"`
	MeanUnits          float64 `json:"meanUnits"`
	MaxUnits           float64 `json:"mostUnits"`
	ShareWeight        float64 `json:"shareWorth"`
	SlowStartAllowance float64 `json:"youngLimit"`
}

type wirePlan struct {
	Rate    float64 `json:"baseRate"`
	Limit   float64 `json:"cap"`
	Reserve float64 `json:"guaranteed"`
	Slack   float64 `json:"limitSlack"`
	Burst   float64 `json:"mostAtOnce"`
	Name    string  `json:"name"`
	Price   float64 `json:"price"`
	Weight  float64 `json:"proportion"`
}

var (
	idempotencies = map[string]scheduler.Idempotency{
		"idempotent":   scheduler.Idempotent,
		"deduplicated": scheduler.IdempotentWithKey,
		"at_most_once": scheduler.NonIdempotent,
	}
	dedupScopes = map[string]scheduler.DedupScope{
		"":     scheduler.ScopeAll,
		"all":  scheduler.ScopeAll,
		"zone": scheduler.ScopeZone,
		"cell": scheduler.ScopeShard,
	}
	loadReportSources = map[string]scheduler.LoadReportSource{
		"":         scheduler.NoLoadReports,
		"off":      scheduler.NoLoadReports,
		"inline":   scheduler.LoadReportsInResponses,
		"on_probe": scheduler.LoadReportsInProbes,
	}
)

// ParseSettings parses the JSON object with the settings in an init event. The configuration of a gateway contains an
// object of the same form.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(text, &wire); err != nil {
		return scheduler.Settings{}, fmt.Errorf("conf: %w", err)
	}
	if wire.MembershipMode != "push" && wire.MembershipMode != "ask" {
		return scheduler.Settings{}, fmt.Errorf("conf: unknown membershipMode %q", wire.MembershipMode)
	}
	loadReports, known := loadReportSources[wire.LoadReports.Source]
	if !known {
		return scheduler.Settings{}, fmt.Errorf("conf: unknown report.via %q", wire.LoadReports.Source)
	}
	settings := scheduler.Settings{
		Siblings:       wire.Siblings,
		Zone:           wire.Zone,
		Zones:          wire.Zones,
		Tick:           millis(wire.Tick),
		Rules:          wire.rules(),
		Allowed:        wire.Allowed.allowed(),
		Sizes:          wire.Requests.sizes(),
		PollMembership: wire.MembershipMode == "ask",
		LoadReports:    loadReports,
		ProbePrice:     wire.Prices.Probe,
		WastePrice:     wire.Prices.Waste,
	}
	for i := range wire.Classes {
		class, err := wire.Classes[i].class()
		if err != nil {
			return settings, err
		}
		class.Writes = i < len(wire.Requests.Writes) && wire.Requests.Writes[i]
		settings.Classes = append(settings.Classes, class)
	}
	for i := range wire.Plans {
		settings.Plans = append(settings.Plans, wire.Plans[i].plan())
	}
	return settings, nil
}

func (w *wireSettings) rules() scheduler.Rules {
	return scheduler.Rules{
		DrainGrace:            millis(w.Rules.DrainGrace),
		SlowStartShare:        w.Rules.SlowStartShare,
		SlowStartDuration:     millis(w.Rules.SlowStartDuration),
		SlowStartWindow:       millis(w.Rules.SlowStartWindow),
		SlowStartAllowance:    w.Requests.SlowStartAllowance,
		SlowStartMultiple:     w.Rules.SlowStartMultiple,
		OrderedKeyQuietPeriod: millis(w.Rules.OrderedKeyQuietPeriod),
		RetryBudgetWindow:     millis(w.Rules.RetryBudgetWindow),
		RetryBudgetBase:       w.Rules.RetryBudgetBase,
		RetryBudgetShare:      w.Rules.RetryBudgetShare,
	}
}

func (w *wireAllowed) allowed() scheduler.Allowed {
	return scheduler.Allowed{
		Probes:         w.Probes,
		Cancel:         w.Cancel,
		HedgedRequests: w.HedgedRequests,
		RetryAfter:     w.RetryAfter,
		MaxRetryAfter:  millis(w.MaxRetryAfter),
		MaxAttempts:    w.MaxAttempts,
		ConnectTimeout: millis(w.ConnectTimeout),
		IdleTimeout:    millis(w.IdleTimeout),
	}
}

func (w *wireRequests) sizes() scheduler.Sizes {
	return scheduler.Sizes{
		MeanUnits:   w.MeanUnits,
		MaxUnits:    w.MaxUnits,
		ShareWeight: w.ShareWeight,
		SpareWeight: w.SpareWeight,
	}
}

func (w *wireClass) class() (scheduler.Class, error) {
	idempotency, known := idempotencies[w.Idempotency]
	if !known {
		return scheduler.Class{}, fmt.Errorf("conf: class %q: unknown idempotency %q", w.Name, w.Idempotency)
	}
	scope, known := dedupScopes[w.DedupScope]
	if !known {
		return scheduler.Class{}, fmt.Errorf("conf: class %q: unknown keyScope %q", w.Name, w.DedupScope)
	}
	return scheduler.Class{
		Name:             w.Name,
		LatencyObjective: millis(w.LatencyObjective),
		ObjectiveStretch: w.ObjectiveStretch,
		Deadline:         millis(w.Deadline),
		PriorityWeight:   w.PriorityWeight,
		LateWeightShare:  w.LateWeightShare,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      millis(w.DedupWindow),
		Ordered:          w.Ordered,
		Streamed:         w.Streamed,
	}, nil
}

func (w *wirePlan) plan() scheduler.Plan {
	return scheduler.Plan{
		Name:    w.Name,
		Rate:    w.Rate,
		Reserve: w.Reserve,
		Limit:   w.Limit,
		Burst:   w.Burst,
		Slack:   w.Slack,
		Weight:  w.Weight,
		Price:   w.Price,
	}
}
