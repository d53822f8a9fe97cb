// Package conformance checks whether the responses of nodes conform to the descriptions of their operations.
//
// An Inspector derives evidence from responses. It does no I/O, and its caller passes the time. Package trust weighs
// the evidence. An Observer runs both in a goroutine of its own, so that no response waits for them, and a
// DistrustStore saves the resulting distrust records in a file.
package conformance
