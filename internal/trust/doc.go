// Package trust decides how far nodes are trusted to do what the descriptions of their operations say. Each operation
// at each node is trusted, suspect, on probation or distrusted. The package has no clock, no lock and does no I/O: its
// caller passes the time and calls from one goroutine at a time.
//
// Evidence is of two kinds. Hard evidence is what no client can bring about, such as an effect of a call that is said
// not to have run: it weighs much, and only time reduces its weight. All other evidence is soft, because it may depend
// on what a client requests: its weight is a cumulative sum (E. S. Page, "Continuous inspection schemes", Biometrika
// 41, 1954) that conforming responses reduce, and no client alone can bring it up to the weight of a suspect.
//
// If most nodes of a version contradict a description, the description is taken to be wrong, not the nodes.
//
// The parts of the package:
//
//   - Evidence, with its weights (evidence.go).
//   - State and the state machine of an operation at a node (entry.go).
//   - versionTotals, which tell when a description is wrong (version.go).
//   - Tracker, which owns all of these (tracker.go).
//   - Record, the form for people and for the trust file (record.go).
package trust
