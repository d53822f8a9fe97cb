// Package configfile reads the operator's TOML files. One reading finds all faults of a file, and each fault names
// the file, the line, the column and the key.
package configfile
