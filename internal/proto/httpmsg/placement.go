package httpmsg

import (
	"fmt"
	"strconv"
	"strings"
)

// Placement states how much work a request is and where its data is.
type Placement struct {
	Units float64 // size of the work
	Shard int     // shard of the data; -1 for a new object
	Hosts int     // number of gateways that receive requests for the volume
}

// String returns the placement in the format of PlacementHeader.
func (p Placement) String() string {
	units := strconv.FormatFloat(p.Units, 'g', -1, 64)
	return "units=" + units + ",shard=" + strconv.Itoa(p.Shard) + ",hosts=" + strconv.Itoa(p.Hosts)
}

// The range of all numbers in a placement.
const (
	minPlacementNumber = -1
	maxPlacementNumber = 1e6
)

// ParsePlacement parses the value of PlacementHeader, such as units=2,shard=5,hosts=3. It ignores unknown names, since
// later versions of the platform may add some.
func ParsePlacement(text string) (Placement, error) {
	numbers := [...]struct {
		name  string
		value float64
		given bool
	}{{name: "units"}, {name: "shard"}, {name: "hosts"}}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		for i := range numbers {
			if numbers[i].name != name || numbers[i].given {
				continue
			}
			value, err := strconv.ParseFloat(number, 64)
			if err != nil || !(value >= minPlacementNumber && value <= maxPlacementNumber) {
				return Placement{}, fmt.Errorf("%s: %s %q is not a usable number", PlacementHeader, name, number)
			}
			numbers[i].value = value
			numbers[i].given = true
		}
	}
	for _, number := range numbers {
		if !number.given {
			return Placement{}, fmt.Errorf("%s: %s is missing", PlacementHeader, number.name)
		}
	}
	units, shard, hosts := numbers[0].value, numbers[1].value, numbers[2].value
	p := Placement{Units: units, Shard: int(shard), Hosts: int(hosts)}
	if p.Units <= 0 || p.Hosts < 1 || float64(p.Shard) != shard {
		return Placement{}, fmt.Errorf("%s: %q makes no sense", PlacementHeader, text)
	}
	return p, nil
}
