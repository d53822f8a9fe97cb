package httpfrontend

import (
	"net"
	"testing"
)

// Rejected connections and requests are counted by reason, and described only if there were any.
func TestCounts(t *testing.T) {
	tracker := newConnTracker(nil, 1)
	s := &Server{frontend: &Frontend{}, conns: tracker}
	admit := func() (*clientConn, bool) {
		near, far := net.Pipe()
		t.Cleanup(func() {
			near.Close()
			far.Close()
		})
		c := newClientConn(tracker, near)
		return c, tracker.admit(c)
	}
	first, ok := admit()
	if got := s.Counts().Since(Counts{}); !ok || got != "" {
		t.Errorf("first connection: admitted %v and described as %q, want true and nothing", ok, got)
	}
	first.enterState(stateActive)
	if _, ok := admit(); ok {
		t.Error("a connection was admitted beyond the limit")
	}
	first.enterState(stateIdle)
	if _, ok := admit(); !ok {
		t.Error("an idle connection was not evicted")
	}
	s.frontend.rateLimited.Add(3)
	now := s.Counts()
	want := "3 connections accepted, 1 connections rejected at the limit, 1 connections evicted, " +
		"3 requests over a limit"
	if got := now.Since(Counts{}); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := now.Since(now); got != "" {
		t.Errorf("without any change: got %q, want nothing", got)
	}
}
