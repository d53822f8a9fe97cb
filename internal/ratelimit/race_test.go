//go:build race

package limits

const raceEnabled = true
