package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Error is a fault of the platform's configuration or of the environment. Faults of the operator's file are reported as
// configfile.Faults.
type Error struct {
	Source string // path of the file, or name of the environment variable; empty for a text that has neither
	Key    string // dotted; empty if the error is not at a key
	Err    error  // what is wrong
}

// Error returns one line: SOURCE: KEY: MESSAGE.
func (e *Error) Error() string {
	var parts []string
	if e.Source != "" {
		parts = append(parts, e.Source)
	}
	if e.Key != "" {
		parts = append(parts, e.Key)
	}
	return strings.Join(append(parts, e.Err.Error()), ": ")
}

// Unwrap returns the error without its source and key.
func (e *Error) Unwrap() error { return e.Err }

func keyError(key, format string, args ...any) error {
	return &Error{Key: key, Err: fmt.Errorf(format, args...)}
}

// withSource adds the path of the faulty file to an error.
func withSource(source string, err error) error {
	var located *Error
	if !errors.As(err, &located) {
		return &Error{Source: source, Err: err}
	}
	return &Error{Source: source, Key: located.Key, Err: located.Err}
}

// jsonError converts the error for a value of the wrong type to an Error that names the key. It returns other errors
// unchanged.
func jsonError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return keyError(wrongType.Field, "want %v, got %s", wrongType.Type, wrongType.Value)
	}
	return err
}
