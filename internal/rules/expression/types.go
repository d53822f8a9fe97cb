package expression

import (
	"reflect"
	"strings"
	"time"
)

// Type is the type of an expression's value, by the name that error messages use.
type Type string

// The types of values.
const (
	String   Type = "string"
	Bool     Type = "bool"
	Int      Type = "int"
	Number   Type = "number"
	Duration Type = "duration"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// typeOf returns the Type that corresponds to a Go type, or "" if there is none.
func typeOf(t reflect.Type) Type {
	switch {
	case t == nil:
		return ""
	case t == durationType:
		return Duration
	case t.Kind() == reflect.String:
		return String
	case t.Kind() == reflect.Bool:
		return Bool
	case t.Kind() == reflect.Int:
		return Int
	case t.Kind() == reflect.Float64:
		return Number
	}
	return ""
}

// describeType names a Go type for an error message.
func describeType(t reflect.Type) string {
	if known := typeOf(t); known != "" {
		return string(known)
	}
	switch {
	case t == timeType:
		return "time"
	case t == nil:
		return "value of no type"
	case t.Kind() == reflect.Slice:
		return "list"
	}
	return t.String()
}

// joinTypes lists types for an error message.
func joinTypes(types []Type) string {
	words := make([]string, len(types))
	for i, t := range types {
		words[i] = string(t)
	}
	return strings.Join(words, " or ")
}
