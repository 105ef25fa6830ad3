// Package knownred skips tests that KNOWN-RED.txt lists.
package knownred

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// file is the path from the folder of a package of internal/.
const file = "../../KNOWN-RED.txt"

// Skip skips the test if a line of KNOWN-RED.txt begins with the test's name and the
// given words, and prints that line.
func Skip(t *testing.T, words ...string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	must.NoError(t, err)
	want := append([]string{t.Name()}, words...)
	for line := range strings.Lines(string(data)) {
		found := strings.Fields(line)
		if len(found) >= len(want) && slices.Equal(found[:len(want)], want) {
			t.Skipf("listed in KNOWN-RED.txt: %s", line)
		}
	}
}
