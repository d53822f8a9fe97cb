// Package conformance compares the answers of nodes with what descriptions say of them.
//
// An Inspector reads evidence out of answers; it does no I/O and gets the time passed in. Package trust weighs the
// evidence. An Observer runs both beside the requests, so that an answer never waits for it, and a Store saves the
// resulting distrust records in a file.
package conformance
