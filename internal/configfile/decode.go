package configfile

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/go-viper/mapstructure/v2"
)

// tagName is the struct tag that holds the key of a field.
const tagName = "toml"

// Decode fills the struct that into points to, by its toml tags, and returns all values of a wrong type and all
// unknown keys. Fields whose keys the file leaves out stay as they were.
func (d *Document) Decode(into any) Faults {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     into,
		TagName:    tagName,
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: rejectInexact,
	})
	if err != nil {
		return Faults{{File: d.Path, Message: err.Error()}}
	}
	var faults Faults
	if err := decoder.Decode(d.tree); err != nil {
		for _, single := range splitErrors(err) {
			faults = append(faults, d.decodeFault(single))
		}
	}
	return append(faults, d.unknownKeys("", d.tree, reflect.TypeOf(into).Elem())...)
}

// mapKey matches a map key in an error of the decoder, which writes it in brackets. Faults join it with a dot instead,
// like all other keys. Indices of lists consist of digits only and do not match.
var mapKey = regexp.MustCompile(`\[([^\]]*[^\]0-9][^\]]*)\]`)

// decodeFault converts an error of the decoder to a Fault.
func (d *Document) decodeFault(err error) Fault {
	var decodeError *mapstructure.DecodeError
	if !errors.As(err, &decodeError) {
		return Fault{File: d.Path, Message: err.Error()}
	}
	key := mapKey.ReplaceAllString(decodeError.Name(), ".$1")
	return d.Fault(key, "%s", decodeMessage(decodeError.Unwrap()))
}

// unknownKeys returns a fault for each key in value, at any depth, that matches no field of valueType. The decoder's
// own check is not used because it reports unknown keys only if it finds no other fault.
func (d *Document) unknownKeys(path string, value any, valueType reflect.Type) Faults {
	for valueType.Kind() == reflect.Pointer {
		valueType = valueType.Elem()
	}
	var faults Faults
	switch value := value.(type) {
	case []any:
		if valueType.Kind() == reflect.Slice {
			for i, element := range value {
				faults = append(faults, d.unknownKeys(fmt.Sprintf("%s[%d]", path, i), element, valueType.Elem())...)
			}
		}
	case map[string]any:
		if valueType.Kind() == reflect.Struct {
			faults = d.unknownTableKeys(path, value, valueType)
		}
	}
	return faults
}

// unknownTableKeys is unknownKeys for a table that is decoded into a struct.
func (d *Document) unknownTableKeys(path string, table map[string]any, structType reflect.Type) Faults {
	fieldTypes := map[string]reflect.Type{}
	for i := range structType.NumField() {
		if tag := structType.Field(i).Tag.Get(tagName); tag != "" && tag != "-" {
			fieldTypes[tag] = structType.Field(i).Type
		}
	}
	var faults Faults
	for key, value := range table {
		if fieldType, ok := fieldTypes[key]; ok {
			faults = append(faults, d.unknownKeys(joinKey(path, key), value, fieldType)...)
			continue
		}
		suggestion := DidYouMean(key, slices.Sorted(maps.Keys(fieldTypes)))
		faults = append(faults, d.Fault(joinKey(path, key), "unknown key%s", suggestion))
	}
	return faults
}

// DidYouMean returns the end of a message that suggests the name closest to a word, or "" if no name is similar to it.
func DidYouMean(word string, names []string) string {
	closest := ""
	maxDistance := 1 + len(word)/3
	for _, name := range names {
		distance := levenshtein.ComputeDistance(word, name)
		if distance < maxDistance || closest == "" && distance == maxDistance {
			closest = name
			maxDistance = distance
		}
	}
	if closest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", closest)
}

// splitErrors returns all errors that are joined in err, at any depth.
func splitErrors(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []error
		for _, inner := range joined.Unwrap() {
			all = append(all, splitErrors(inner)...)
		}
		return all
	}
	if _, ok := err.(*mapstructure.DecodeError); !ok {
		if inner := errors.Unwrap(err); inner != nil {
			return splitErrors(inner)
		}
	}
	return []error{err}
}

// decodeMessage describes an error of the decoder in terms of TOML, not of Go types.
func decodeMessage(err error) string {
	var wrongType *mapstructure.UnconvertibleTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("want %s, got %s", typeName(wrongType.Expected.Type()), valueName(wrongType.Value))
	}
	return err.Error()
}

// typeName describes the TOML values that a Go type accepts.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a table"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// valueName describes a value. Tables and lists are not written out.
func valueName(value any) string {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Map:
		return "a table"
	case reflect.Slice:
		return "a list"
	}
	return fmt.Sprintf("%#v", value)
}

var durationType = reflect.TypeFor[time.Duration]()

// rejectInexact is a decode hook that rejects the decoder's lenient conversions: 3.5 is not a whole number, 5 is not a
// duration, and a table is not a list with one element. It parses durations and rejects negative ones.
func rejectInexact(from, to reflect.Type, value any) (any, error) {
	switch {
	case to == durationType && from.Kind() == reflect.String:
		duration, err := time.ParseDuration(value.(string))
		if err != nil || duration < 0 {
			return nil, fmt.Errorf("%q is not a duration such as 250ms", value)
		}
		return duration, nil
	case to == durationType:
		return nil, fmt.Errorf(`want a duration such as "250ms", got %s`, valueName(value))
	case from.Kind() == reflect.Float64 && to.Kind() >= reflect.Int && to.Kind() <= reflect.Uint64:
		return nil, fmt.Errorf("want a whole number, got %v", value)
	case to.Kind() == reflect.Slice && from.Kind() != reflect.Slice:
		return nil, fmt.Errorf("want a list, got %s", valueName(value))
	}
	return value, nil
}
