//go:build race

package ratelimit

const raceEnabled = true
