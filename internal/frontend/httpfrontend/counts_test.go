package httpfrontend

import (
	"net"
	"testing"
)

// What is turned away at the listener is counted by why, and told only where somebody was.
func TestCounts(t *testing.T) {
	l := newClients(nil, 1)
	s := &Server{front: &Frontend{}, clients: l}
	enter := func() (*client, bool) {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := &client{Conn: a, ahead: newAhead(a), home: l}
		return c, l.enter(c)
	}
	first, ok := enter()
	if told := s.Counts().Since(Counts{}); !ok || told != "" {
		t.Errorf("%v, %q", ok, told)
	}
	first.enterStage(open)
	if _, ok := enter(); ok {
		t.Error("there was room")
	}
	first.enterStage(idle)
	if _, ok := enter(); !ok {
		t.Error("an idle one made no room")
	}
	s.front.limited.Add(3)
	now := s.Counts()
	if told := now.Since(Counts{}); told != "3 connections accepted, 1 closed for want of room, 1 closed to make room, 3 requests beyond a limit" {
		t.Error(told)
	}
	if told := now.Since(now); told != "" {
		t.Error(told)
	}
}
