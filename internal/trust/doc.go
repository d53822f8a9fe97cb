// Package trust decides how far nodes are trusted to do what the descriptions of their operations say. Each operation
// at each node is trusted, suspect, on probation or distrusted. The package reads no clock, takes no lock and does no
// I/O: its caller passes the time and calls from one goroutine at a time.
//
// There are two kinds of evidence against a node. Hard evidence is what no client can bring about, such as an effect of
// a call that the node says has not run: it has a large weight, which only time reduces. All other evidence is soft,
// because it may depend on what a client requests: its weight is a cumulative sum (E. S. Page, "Continuous inspection
// schemes", Biometrika 41, 1954) that conforming responses reduce, and a single client can't raise it to the weight at
// which a node becomes suspect.
//
// If most nodes that run the same version contradict a description, and enough nodes of that version are known, the
// description counts as wrong, not the nodes.
//
// The parts of the package:
//
//   - Evidence is what a response shows about a node. Each kind of evidence has a weight (evidence.go).
//   - State is how far a node is trusted with an operation. An entry holds this state and changes it (entry.go).
//   - versionTotals determine whether a description is wrong for a version of the nodes' program (version.go).
//   - Tracker owns all entries (tracker.go).
//   - Record is the form in which trust is shown and stored in the trust file (record.go).
package trust
