package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"reachpulley/internal/adminapi"
	"reachpulley/internal/discovery"
	"reachpulley/internal/maintenance"
)

// maintenanceSyncInterval is how often the maintenance state is read that another process of the same gateway may have
// changed during an upgrade.
const maintenanceSyncInterval = 200 * time.Millisecond

// adminController carries out the calls of the admin API.
type adminController struct {
	gateway *gateway
	state   *maintenance.File // nil: the state is not shared with other processes

	mu sync.Mutex // held while the state of the nodes changes
}

func (g *gateway) newAdminController() *adminController {
	a := &adminController{gateway: g}
	if directory := g.options.SharedDirectory; directory != "" {
		a.state = maintenance.NewFile(directory)
	}
	return a
}

// Ready reports whether the gateway can serve clients: it knows nodes and is not stopping.
func (a *adminController) Ready() bool {
	return !a.gateway.stopping.Load() && a.gateway.discovery.HasList()
}

// TakeNodeOffline excludes a node from new work.
func (a *adminController) TakeNodeOffline(node string) error {
	return a.changeNode(node, a.gateway.discovery.TakeOffline)
}

// TakeNodeOnline ends the exclusion of a node.
func (a *adminController) TakeNodeOnline(node string) error {
	return a.changeNode(node, a.gateway.discovery.TakeOnline)
}

// changeNode applies a change on top of what the other process of the gateway has stored, and stores the result. A
// failure to store is only logged: the change holds in this process.
func (a *adminController) changeNode(node string, change func(node string) error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loadLocked()
	if err := change(node); err != nil {
		if errors.Is(err, discovery.ErrUnknownNode) {
			return adminapi.ErrUnknownNode
		}
		return err
	}
	if a.state == nil {
		return nil
	}
	if err := a.state.Store(a.gateway.discovery.Offline()); err != nil {
		a.gateway.log.Error("maintenance state not stored", "err", err)
	}
	return nil
}

// loadLocked applies the stored state if it has changed since it was last read or stored.
func (a *adminController) loadLocked() {
	if a.state == nil {
		return
	}
	offline, changed, err := a.state.Load()
	if err != nil {
		a.gateway.log.Error("maintenance state rejected", "err", err)
		return
	}
	if changed {
		a.gateway.discovery.SetOffline(offline)
	}
}

// run follows the stored state until ctx ends.
func (a *adminController) run(ctx context.Context) {
	if a.state == nil {
		return
	}
	ticker := time.NewTicker(maintenanceSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.load()
	}
}

// load applies the stored state if it has changed.
func (a *adminController) load() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loadLocked()
}

// LeaveService sends clients away.
func (a *adminController) LeaveService() { a.gateway.httpServer.LeaveService() }

// EnterService takes clients again.
func (a *adminController) EnterService() { a.gateway.httpServer.EnterService() }
