// Package contract reads descriptions of operations in OpenAPI and AsyncAPI, and finds the operation that a request
// calls. A description states which calls are idempotent, which carry an idempotency key, how soon a response is due
// and what a status means.
//
// Load and Parse read descriptions. The properties that are meant for the gateway are under the key x-contract, whose
// JSON Schema is Schema. Check reports contradictions within descriptions, Diff reports the changes between two
// versions, and a Router finds the Operation of a Call.
//
// The only I/O of the package is to read the files that it is given. Package catalog relates operations to the
// settings.
package contract
