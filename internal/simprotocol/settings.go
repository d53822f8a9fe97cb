package simprotocol

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"reachpulley/scheduler"
)

// conf mirrors the settings object of an init event; keys that it does not name are ignored.
type conf struct {
	Callers struct {
	} `json:"callers"`
	Ceilings struct {
		Cancel          bool    `json:"cancel"`
		ConnIdleMs      float64 `json:"connIdleMs"`
		DialTimeoutMs   float64 `json:"dialTimeoutMs"`
		MaxAttempts     int     `json:"maxAttempts"`
		MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
		Probes          bool    `json:"probes"`
		RetryAfter      bool    `json:"retryAfter"`
		SecondCopies    bool    `json:"secondCopies"`
	} `json:"ceilings"`
	Classes []struct {
		AimMs       float64 `json:"aimMs"`
		AimStretch  float64 `json:"aimStretch"`
		DeadlineMs  float64 `json:"deadlineMs"`
		Idempotency string  `json:"idempotency"`
		InTurn      bool    `json:"inTurn"`
		KeyScope    string  `json:"keyScope"`
		LateShare   float64 `json:"lateShare"`
		Name        string  `json:"name"`
		Points      float64 `json:"points"`
		Stream      bool    `json:"stream"`
		WindowMs    float64 `json:"windowMs"`
	} `json:"classes"`
	Contract struct {
		ColdFrom      float64 `json:"coldFrom"`
		FallMultiple  float64 `json:"fallMultiple"`
		DrainGraceMs  float64 `json:"drainGraceMs"`
		OverloadForMs float64 `json:"overloadForMs"`
		TurnGapMs     float64 `json:"turnGapMs"`
		WarmWithinMs  float64 `json:"warmWithinMs"`
		MinExtra      float64 `json:"minExtra"`
		RepeatRatio   float64 `json:"repeatRatio"`
		ResendSpanMs  float64 `json:"resendSpanMs"`
	} `json:"contract"`
	Dcs        []string `json:"dcs"`
	FamilyInfo struct {
		ChangesData []bool  `json:"changesData"`
		IdleWorth   float64 `json:"idleWorth"`
		MeanUnits   float64 `json:"meanUnits"`
		MostUnits   float64 `json:"mostUnits"`
		ShareWorth  float64 `json:"shareWorth"`
		YoungLimit  float64 `json:"youngLimit"`
	} `json:"familyInfo"`
	MembershipMode string `json:"membershipMode"`
	Policies       []struct {
		BaseRate   float64 `json:"baseRate"`
		Cap        float64 `json:"cap"`
		Guaranteed float64 `json:"guaranteed"`
		LimitSlack float64 `json:"limitSlack"`
		MostAtOnce float64 `json:"mostAtOnce"`
		Name       string  `json:"name"`
		Price      float64 `json:"price"`
		Proportion float64 `json:"proportion"`
	} `json:"policies"`
	Prices struct {
		Probe float64 `json:"probe"`
		Waste float64 `json:"waste"`
	} `json:"prices"`
	Report struct {
		Via string `json:"via"`
	} `json:"report"`
	Siblings int     `json:"siblings"`
	TickMs   float64 `json:"tickMs"`
	Zone     int     `json:"zone"`
}

var (
	repeatsWords = map[string]scheduler.Idempotency{
		"idempotent": scheduler.Idempotent, "deduplicated": scheduler.IdempotentWithKey, "at_most_once": scheduler.NonIdempotent}
	groupWords = map[string]scheduler.DedupScope{
		"": scheduler.ScopeAll, "all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeShard}
	reportWords = map[string]scheduler.LoadReportSource{
		"": scheduler.NoLoadReports, "off": scheduler.NoLoadReports, "inline": scheduler.LoadReportsInResponses, "on_probe": scheduler.LoadReportsInProbes}
)

// ParseSettings reads the settings object of an init event, which a gateway finds in its configuration.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var c conf
	var s scheduler.Settings
	if err := json.Unmarshal(text, &c); err != nil {
		return s, fmt.Errorf("conf: %w", err)
	}
	if c.MembershipMode != "push" && c.MembershipMode != "ask" {
		return s, fmt.Errorf("conf: unknown membershipMode %q", c.MembershipMode)
	}
	reports, ok := reportWords[c.Report.Via]
	if !ok {
		return s, fmt.Errorf("conf: unknown report.via %q", c.Report.Via)
	}
	s = scheduler.Settings{
		Siblings: c.Siblings, Zone: c.Zone, Zones: c.Dcs, Tick: millis(c.TickMs),
		Rules: scheduler.Rules{
			DrainGrace:     millis(c.Contract.DrainGraceMs),
			SlowStartShare: c.Contract.ColdFrom, SlowStartDuration: millis(c.Contract.WarmWithinMs),
			SlowStartWindow: millis(c.Contract.OverloadForMs), SlowStartAllowance: c.FamilyInfo.YoungLimit, SlowStartMultiple: c.Contract.FallMultiple,
			OrderedKeyQuietPeriod: millis(c.Contract.TurnGapMs),
			RetryBudgetWindow:     millis(c.Contract.ResendSpanMs),
			RetryBudgetBase:       c.Contract.MinExtra, RetryBudgetShare: c.Contract.RepeatRatio,
		},
		Allowed: scheduler.Allowed{
			Probes: c.Ceilings.Probes, Cancel: c.Ceilings.Cancel, HedgedRequests: c.Ceilings.SecondCopies,
			RetryAfter: c.Ceilings.RetryAfter, MaxRetryAfter: millis(c.Ceilings.MaxRetryAfterMs),
			MaxAttempts: c.Ceilings.MaxAttempts, ConnectTimeout: millis(c.Ceilings.DialTimeoutMs),
			IdleTimeout: millis(c.Ceilings.ConnIdleMs),
		},
		Sizes: scheduler.Sizes{
			MeanUnits: c.FamilyInfo.MeanUnits, MaxUnits: c.FamilyInfo.MostUnits,
			ShareWeight: c.FamilyInfo.ShareWorth, SpareWeight: c.FamilyInfo.IdleWorth,
		},
		PollMembership: c.MembershipMode == "ask", LoadReports: reports,
		ProbePrice: c.Prices.Probe, WastePrice: c.Prices.Waste,
	}
	for i, k := range c.Classes {
		repeats, ok := repeatsWords[k.Idempotency]
		if !ok {
			return s, fmt.Errorf("conf: class %q: unknown idempotency %q", k.Name, k.Idempotency)
		}
		group, ok := groupWords[k.KeyScope]
		if !ok {
			return s, fmt.Errorf("conf: class %q: unknown keyScope %q", k.Name, k.KeyScope)
		}
		s.Classes = append(s.Classes, scheduler.Class{
			Name: k.Name, LatencyObjective: millis(k.AimMs), ObjectiveStretch: k.AimStretch, Deadline: millis(k.DeadlineMs),
			PriorityWeight: k.Points, LateWeightShare: k.LateShare, Idempotency: repeats, DedupScope: group,
			DedupWindow: millis(k.WindowMs), Ordered: k.InTurn, Streamed: k.Stream,
			Writes: i < len(c.FamilyInfo.ChangesData) && c.FamilyInfo.ChangesData[i],
		})
	}
	for _, p := range c.Policies {
		s.Plans = append(s.Plans, scheduler.Plan{
			Name: p.Name, Rate: p.BaseRate, Reserve: p.Guaranteed, Limit: p.Cap, Burst: p.MostAtOnce,
			Slack: p.LimitSlack, Weight: p.Proportion, Price: p.Price,
		})
	}
	return s, nil
}

// millis turns the wire's milliseconds into a duration, to the nearest microsecond.
func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
