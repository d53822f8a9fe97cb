package rules

import (
	"fmt"
	"math"
	"strings"
	"time"

	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Bounds of the values that rules may set.
const (
	maxUnits               = 1e6
	maxShard               = 1e6
	maxHosts               = 1e6
	maxDeadline            = time.Hour
	maxIdempotencyKeyBytes = 255
)

// valueFault returns the fault of a value that the settings or the platform do not allow.
func valueFault(format string, args ...any) *expression.Fault {
	return &expression.Fault{
		Cause:       expression.CauseUnparsable,
		Requirement: fmt.Sprintf(format, args...),
	}
}

// checkValue checks a value against what the settings and the platform allow, and returns it in the form in which
// Result stores it. Values that are constants are also checked at load.
func (s *Set) checkValue(f Field, value any) (any, *expression.Fault) {
	switch f {
	case Class:
		number, ok := s.classes[value.(string)]
		if !ok {
			return nil, valueFault("a class of the settings in place of %.64q", value)
		}
		return number, nil
	case Plan:
		number, ok := s.plans[value.(string)]
		if !ok {
			return nil, valueFault("a plan of the settings in place of %.64q", value)
		}
		return number, nil
	case Units:
		return s.checkUnits(value)
	}
	return value, checkPlainValue(f, value)
}

// checkUnits checks the units of a request, which may be a whole number or a fraction, and returns them as a float64.
func (s *Set) checkUnits(value any) (any, *expression.Fault) {
	units, ok := value.(float64)
	if !ok {
		units = float64(value.(int))
	}
	largest := s.settings.Sizes.MaxUnits
	if !(units > 0) || units > maxUnits || largest > 0 && units > largest || math.IsInf(units, 0) {
		return nil, valueFault("units above 0 and up to %v in place of %v", largest, units)
	}
	return units, nil
}

// checkPlainValue checks a value that Result stores unchanged.
func checkPlainValue(f Field, value any) *expression.Fault {
	switch f {
	case Client:
		if len(value.(string)) > expression.MaxNameBytes {
			return valueFault("no more than %d characters", expression.MaxNameBytes)
		}
	case Deadline:
		if d := value.(time.Duration); d <= 0 || d > maxDeadline {
			return valueFault("a deadline above 0 and up to an hour in place of %v", d)
		}
	case Volume, Key:
		if !IsID(value.(string)) {
			return valueFault("16 hex digits in place of %.64q", value)
		}
	case Shard:
		if n := value.(int); n < scheduler.AnyShard || n > maxShard {
			return valueFault("a shard from -1 on in place of %d", n)
		}
	case Hosts:
		if n := value.(int); n < 1 || n > maxHosts {
			return valueFault("hosts from 1 on in place of %d", n)
		}
	case Idempotency:
		if !isIdempotencyKey(value.(string)) {
			return valueFault("an idempotency key of 1 to %d printable characters", maxIdempotencyKeyBytes)
		}
	}
	return nil
}

// isIdempotencyKey reports whether a text is an idempotency key: 1 to maxIdempotencyKeyBytes printable ASCII characters
// other than spaces.
func isIdempotencyKey(text string) bool {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return text != "" && len(text) <= maxIdempotencyKeyBytes && !strings.ContainsFunc(text, unprintable)
}

// IsID reports whether a text has the form of a volume ID or of a data key: 16 hex digits.
func IsID(text string) bool {
	return len(text) == 16 && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}
