package stage

// Zagreb returns settings like those of zagreb-main, for the given number of gateways, in the form of
// WIRE-reachpulley.md. The caller may change them.
func Zagreb(gateways int) map[string]any {
	return map[string]any{
		"siblings":       gateways,
		"me":             0,
		"membershipMode": "ask",
		"dcs":            []string{"room-a", "room-b"},
		"zone":           0,
		"tickMs":         2.0,
		"weights":        "nominal",
		"callers":        map[string]any{"marksRetry": false},
		"ceilings": map[string]any{
			"cancel": true, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0, "maxAttempts": 4, "maxRetryAfterMs": 500.0,
			"mayTell": true, "probes": true, "retryAfter": true, "secondCopies": true,
		},
		"classes": []map[string]any{
			{
				"name": "sheet-read", "aimMs": 300.0, "deadlineMs": 1500.0, "idempotency": "idempotent",
				"keyScope": "all", "windowMs": 5000.0, "points": 3.0, "lateShare": 0.15, "stream": false,
			},
			{
				"name": "entry-write", "aimMs": 400.0, "deadlineMs": 2500.0, "idempotency": "deduplicated",
				"keyScope": "cell", "windowMs": 4000.0, "points": 2.0, "lateShare": 0.15, "stream": false,
			},
		},
		"contract": map[string]any{
			"answerSlackMs": 8.0, "coldFrom": 0.18, "drainGraceMs": 250.0, "fallMultiple": 4.0, "mustAskInMs": 10000.0,
			"overloadForMs": 3000.0, "warmWithinMs": 17000.0,
		},
		"familyInfo": map[string]any{
			"changesData": []bool{false, true}, "countsOthers": false, "idleWorth": 0.1, "meanUnits": 2.0,
			"mostUnits": 8, "shareWorth": 0.4, "slotsTotal": 8, "usePeriodMs": 0.0, "youngLimit": 76.0,
		},
		"policies": []map[string]any{
			{
				"name": "standard", "baseRate": 60.0, "cap": 0.0, "guaranteed": 72.0, "limitSlack": 0.0,
				"mostAtOnce": 0.0, "price": 1.2, "proportion": 1.0,
			},
		},
		"prices": map[string]any{"membershipMode": 0.0034, "probe": 0.014, "waste": 0.048},
		"report": map[string]any{"fields": []string{"rif", "q"}, "via": "on_probe"},
	}
}

// Taoyuan returns settings like those of taoyuan-campus, for the given number of gateways.
func Taoyuan(gateways int) map[string]any {
	settings := Zagreb(gateways)
	settings["membershipMode"] = "push"
	settings["dcs"] = []string{"hall-a", "hall-b", "hall-c"}
	settings["ceilings"] = map[string]any{
		"cancel": true, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0, "maxAttempts": 3, "maxRetryAfterMs": 500.0,
		"mayTell": false, "probes": false, "retryAfter": true, "secondCopies": false,
	}
	settings["classes"] = []map[string]any{
		{
			"name": "read", "aimMs": 300.0, "deadlineMs": 2000.0, "idempotency": "idempotent", "keyScope": "all",
			"windowMs": 5000.0, "points": 2.0, "lateShare": 0.2, "stream": false,
		},
		{
			"name": "new-order", "aimMs": 600.0, "deadlineMs": 3000.0, "idempotency": "at_most_once", "keyScope": "all",
			"windowMs": 5000.0, "points": 2.0, "lateShare": 0.2, "stream": false,
		},
		{
			"name": "export", "aimMs": 2000.0, "deadlineMs": 6000.0, "idempotency": "idempotent", "keyScope": "all",
			"windowMs": 5000.0, "points": 1.0, "lateShare": 0.2, "stream": false,
		},
	}
	settings["contract"].(map[string]any)["drainGraceMs"] = 1000.0
	settings["familyInfo"].(map[string]any)["changesData"] = []bool{false, true, false}
	settings["familyInfo"].(map[string]any)["mostUnits"] = 6
	settings["report"] = map[string]any{"fields": []string{"rif", "lat_ms"}, "via": "inline"}
	return settings
}

// Kathmandu returns settings like those of ktm-main, for the given number of gateways.
func Kathmandu(gateways int) map[string]any {
	settings := Zagreb(gateways)
	settings["ceilings"] = map[string]any{
		"cancel": true, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0, "maxAttempts": 3, "maxRetryAfterMs": 500.0,
		"mayTell": false, "probes": false, "retryAfter": true, "secondCopies": false,
	}
	class := func(name string, aim, deadline, points float64) map[string]any {
		return map[string]any{
			"name": name, "aimMs": aim, "deadlineMs": deadline, "idempotency": "idempotent", "keyScope": "all",
			"windowMs": 5000.0, "points": points, "lateShare": 0.15, "stream": false,
		}
	}
	settings["classes"] = []map[string]any{
		class("order-read", 150, 750, 3), class("order-write", 250, 1500, 2), class("report-read", 1200, 4000, 1),
	}
	settings["contract"].(map[string]any)["drainGraceMs"] = 2000.0
	settings["contract"].(map[string]any)["overloadForMs"] = 1000.0
	settings["familyInfo"].(map[string]any)["changesData"] = []bool{false, true, false}
	settings["report"] = map[string]any{"fields": []string{"q", "busy"}, "via": "inline"}
	return settings
}

// Config returns the configuration of a gateway but for its name and its address.
func Config(settings map[string]any, discovery *Discovery, memoryMB, sockets int) map[string]any {
	return map[string]any{
		"discovery": discovery.Address,
		"limits":    map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":     discovery.Known(),
		"settings":  settings,
	}
}
