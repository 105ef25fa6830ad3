//go:build !race

package fronthost

const raceEnabled = false
