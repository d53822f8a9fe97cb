// Package contract reads descriptions of operations in OpenAPI and AsyncAPI, and finds the operation of a request. A
// description says which calls are idempotent, which carry a key, how soon an answer is wanted and what a status means.
//
// Load and Parse read descriptions; what concerns the gateway is under the key x-contract, whose JSON Schema is Schema.
// Check reports contradictions within them, Diff what changes between two versions. A Router finds the Operation of a
// Call.
//
// The package does no I/O but for reading the files it is given. Package catalog relates operations to the settings.
package contract
