package expression

import (
	"fmt"
	"sync"
	"time"
	_ "time/tzdata" // time zones by name, wherever the program runs
)

func callToDuration(e *environment, args []any) any {
	e.charge("toDuration", 0)
	duration, err := time.ParseDuration(boundedText(args[0].(string)))
	if err != nil || duration < 0 {
		raise(CauseUnparsable, "a duration such as 250ms in place of %.64q", args[0])
	}
	return duration
}

func callToTime(e *environment, args []any) any {
	e.charge("toTime", 0)
	t, err := time.Parse(args[1].(string), boundedText(args[0].(string)))
	if err != nil {
		raise(CauseUnparsable, "a time such as %s in place of %.64q", args[1], args[0])
	}
	return t
}

func callDate(e *environment, args []any) any {
	e.charge("date", 0)
	return timeInZone(args).Format(time.DateOnly)
}

func callHour(e *environment, args []any) any {
	e.charge("hour", 0)
	return timeInZone(args).Hour()
}

func callWeekday(e *environment, args []any) any {
	e.charge("weekday", 0)
	return int(timeInZone(args).Weekday())
}

func callSeconds(_ *environment, args []any) any { return durationOf(args[0].(int), time.Second) }

func callMillis(_ *environment, args []any) any { return durationOf(args[0].(int), time.Millisecond) }

// durationOf returns the duration of n units. It raises a fault for a duration below 0 or above a day.
func durationOf(n int, unit time.Duration) time.Duration {
	if n < 0 || n > int(24*time.Hour/unit) {
		raise(CauseUnparsable, "from 0 to a day in place of %d × %v", n, unit)
	}
	return time.Duration(n) * unit
}

// timeInZone returns the time args[0] in the zone named by args[1]. The rewriter has checked at load that the zone
// exists.
func timeInZone(args []any) time.Time {
	zone, err := loadZone(args[1].(string))
	if err != nil {
		raise(CauseFailed, "%s", err)
	}
	return args[0].(time.Time).In(zone)
}

// zones caches time zones by name. Names are constants of rule files, which bounds their number.
var zones sync.Map

// loadZone returns the time zone with the given name, such as Europe/Zagreb.
func loadZone(name string) (*time.Location, error) {
	if cached, ok := zones.Load(name); ok {
		return cached.(*time.Location), nil
	}
	zone, err := time.LoadLocation(name)
	if err != nil || name == "" || name == "Local" {
		return nil, fmt.Errorf("%q is not a time zone such as Europe/Zagreb", name)
	}
	zones.Store(name, zone)
	return zone, nil
}
