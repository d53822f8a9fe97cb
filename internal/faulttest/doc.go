// Package faulttest runs gateway processes over loopback between stand-ins for clients, storage nodes and discovery,
// plays faults on them, and checks on what clients and nodes saw that the rules of the platform hold.
//
// A Run owns the processes, stand-ins and clients of one test. Its record holds every request and every attempt, and
// its checks are the same for all faults:
//
//   - platform.go: discovery and storage nodes
//   - process.go: gateway processes, their signals, memory and descriptors
//   - client.go: clients that keep to the protocol
//   - hostile.go: clients that do not, or that cost the gateway much
//   - record.go: what was seen, and the checks
package faulttest
