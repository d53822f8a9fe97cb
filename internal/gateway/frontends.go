package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/frontend/h2frontend"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/internal/scsihttp"
	"reachpulley/scheduler"
)

func (g *gateway) newHTTPFrontend() *httpfrontend.Frontend {
	return httpfrontend.New(httpfrontend.Options{
		Settings:    g.options.Config.Settings,
		Loop:        g.loop,
		Rules:       g.rules,
		Contracts:   g.contracts,
		DefaultPlan: g.options.Operator.Contracts.DefaultPlan,
		NewID:       newRequestIDs(),
		Log:         g.log,
	})
}

func (g *gateway) newHTTPServer() *httpfrontend.Server {
	limits := httpfrontend.ServerLimits{
		Connections: g.sockets.clients,
		HeaderBytes: g.options.Operator.Rules.MaxHeaderBytes,
		Resources:   g.intake,
	}
	return httpfrontend.NewServer(g.httpFrontend, g.options.Listener, limits, g.log)
}

// newH2Server makes the server for HTTP/2, which hands its requests to the HTTP frontend. It returns nil if HTTP/2 is
// off.
func (g *gateway) newH2Server() (*h2frontend.Server, error) {
	h2c := g.options.Operator.H2C
	if !h2c.Enabled {
		return nil, nil
	}
	limits := h2c.Admission()
	limits.CloseTimeout = maxDeadline(g.options.Config.Settings.Classes) + lateAnswerTime
	server, err := h2frontend.New(h2frontend.Options{
		Handler:        g.httpFrontend,
		Admission:      limits,
		Seed:           g.options.Config.Seed,
		MaxHeaderBytes: h2c.MaxHeaderBytes,
		RetryAfter:     maxRetryAfter(&g.options.Config.Settings),
		Resources:      g.intake,
		Log:            g.log,
	})
	if err != nil {
		return nil, &ConfigError{Key: "h2c", Err: err}
	}
	return server, nil
}

// lateAnswerTime is how long after its deadline a request may still be answered. A later answer is as good as none.
const lateAnswerTime = 500 * time.Millisecond

// maxDeadline returns the longest time that a request of any class may take.
func maxDeadline(classes []scheduler.Class) (maximum time.Duration) {
	for _, class := range classes {
		maximum = max(maximum, class.Deadline)
	}
	return maximum
}

// maxRetryAfter returns the longest Retry-After that the settings allow; 0 if they allow none.
func maxRetryAfter(settings *scheduler.Settings) time.Duration {
	if !settings.Allowed.RetryAfter {
		return 0
	}
	return settings.Allowed.MaxRetryAfter
}

// newISCSITarget makes the iSCSI frontend. It returns nil if that is off. If the nodes speak HTTP, the frontend
// translates commands to requests as an API description says.
func (g *gateway) newISCSITarget() (*iscsitarget.Target, error) {
	iscsi := g.options.Operator.ISCSI
	if iscsi == nil {
		return nil, nil
	}
	settings := g.options.Config.Settings
	var translator iscsitarget.Translator = iscsitarget.NativeTranslator{}
	if iscsi.Nodes == config.NodesHTTP {
		loaded, err := scsihttp.Load(iscsi.Description, settings)
		if err != nil {
			return nil, &ConfigError{Key: "iscsi.description", Err: err}
		}
		translator = loaded
	}
	return iscsitarget.New(iscsitarget.Options{
		Name:        iscsi.Target,
		Units:       iscsi.Units,
		Classes:     settings.Classes,
		Plans:       settings.Plans,
		Rules:       g.rules,
		Contracts:   g.contracts,
		MaxSessions: iscsi.Sessions,
		MaxTasks:    iscsi.Depth,
		Resources:   g.intake,
		Loop:        g.loop,
		Translator:  translator,
		NewID:       newRequestIDs(),
		Log:         g.log,
	}), nil
}

// newRequestIDs returns a generator of request IDs. An ID consists of a prefix and a counter. The prefix is random, so
// that other frontends and other incarnations of the gateway very likely have another one.
func newRequestIDs() func() string {
	prefix := rand.Uint32()
	var count atomic.Uint32
	return func() string { return fmt.Sprintf("%08x%08x", prefix, count.Add(1)) }
}
