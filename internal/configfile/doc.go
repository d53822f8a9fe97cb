// Package configfile reads the operator's TOML files. It reports all faults of a file at once, each with the file, the
// line, the column and the key.
package configfile
