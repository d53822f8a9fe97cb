//go:build !race

package limits

const raceEnabled = false
