package rules

import (
	"fmt"
	"maps"
	"slices"

	"reachpulley/internal/configfile"
)

// loadTests parses the requests of the file's own tests and checks the fields that they name. Set.Test runs the tests.
func (l *loader) loadTests() {
	for i, entry := range l.file.Test {
		key := fmt.Sprintf("test[%d]", i)
		facts, err := ParseRequest(entry.Request)
		if err != nil {
			l.addFault(key+".request", "%v", err)
		}
		for _, name := range slices.Sorted(maps.Keys(entry.Assigned)) {
			if !slices.Contains(fieldNames, name) {
				l.addFault(key+".gives."+name, "no rule can set %q%s", name, configfile.DidYouMean(name, fieldNames))
			}
		}
		l.set.TestRequests = append(l.set.TestRequests, TestRequest{Name: entry.Name, Facts: facts})
	}
	l.set.tests = l.file.Test
}
