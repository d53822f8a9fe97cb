// Package configfile reads the operator's TOML files. It reports all faults of a file at once, each with the file and,
// where they are known, the line, the column and the key. If a file is not valid TOML, it reports only the first error.
package configfile
