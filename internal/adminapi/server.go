// Package adminapi serves the calls by which operators run a gateway: readiness, maintenance of nodes, and taking the
// gateway out of service. It listens on an address of its own, so that load of clients does not delay an answer.
package adminapi

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Controller carries out the calls. Its methods must not block.
type Controller interface {
	// Ready reports whether this process can serve clients.
	Ready() bool
	// TakeNodeOffline excludes a node from new work until TakeNodeOnline, whatever discovery says.
	TakeNodeOffline(node string) error
	TakeNodeOnline(node string) error
	// LeaveService sends clients away, and EnterService takes them again.
	LeaveService()
	EnterService()
}

// ErrUnknownNode is returned by a Controller for a node that was never listed.
var ErrUnknownNode = errors.New("node was never listed")

const (
	callTimeout    = 3 * time.Second // for a call to arrive and to be answered
	maxHeaderBytes = 4 << 10
	// MaxConnections is the maximum number of connections. When a further one comes, the oldest is closed, so that
	// callers that send nothing keep nobody out.
	MaxConnections = 16
)

// Server answers calls, one on each connection.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer returns a Server that takes its calls from a listener.
func NewServer(controller Controller, listener net.Listener, log *slog.Logger) *Server {
	server := &http.Server{
		Handler:        newHandler(controller, log),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	return &Server{http: server, listener: newEvictingListener(listener, MaxConnections)}
}

// Serve answers calls until Close.
func (s *Server) Serve() { s.http.Serve(s.listener) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// handler answers calls through a Controller.
type handler struct {
	controller Controller
	log        *slog.Logger
}

func newHandler(controller Controller, log *slog.Logger) http.Handler {
	h := &handler{controller: controller, log: log}
	mux := http.NewServeMux()
	post := func(path string, call http.HandlerFunc) { mux.HandleFunc(path, allow(http.MethodPost, call)) }
	mux.HandleFunc("/control/ready", allow(http.MethodGet, h.ready))
	post("/control/storage-nodes/{id}/offline", h.changeNode(controller.TakeNodeOffline))
	post("/control/storage-nodes/{id}/online", h.changeNode(controller.TakeNodeOnline))
	post("/control/out-of-service", h.changeService(controller.LeaveService))
	post("/control/in-service", h.changeService(controller.EnterService))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusNotFound, "there is no such call")
	})
	return mux
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.controller.Ready() {
		respond(w, http.StatusServiceUnavailable, "this process cannot serve clients yet or is stopping")
		return
	}
	respond(w, http.StatusOK, "ready")
}

// changeNode returns a handler that applies a change to the node that the path names.
func (h *handler) changeNode(change func(node string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := change(r.PathValue("id"))
		h.log.Info("admin call", "call", r.URL.Path, "err", err)
		switch {
		case errors.Is(err, ErrUnknownNode):
			respond(w, http.StatusNotFound, err.Error())
		case err != nil:
			respond(w, http.StatusInternalServerError, err.Error())
		default:
			respond(w, http.StatusOK, "done")
		}
	}
}

func (h *handler) changeService(change func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		change()
		h.log.Info("admin call", "call", r.URL.Path)
		respond(w, http.StatusOK, "done")
	}
}

// allow restricts a handler to one method.
func allow(method string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			respond(w, http.StatusMethodNotAllowed, method+" is wanted")
			return
		}
		next(w, r)
	}
}

// reply is the body of each answer.
type reply struct {
	Reason string `json:"reason"`
}

func respond(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(reply{Reason: reason})
}
