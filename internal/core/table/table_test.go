package table

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against iteration in map order and against visiting deleted rows.
func TestEachVisitsInKeyOrderAndSkipsDeleted(t *testing.T) {
	tab := New[string, int]()
	for i, k := range []string{"c", "a", "b"} {
		tab.Put(k, i)
	}
	var visited []string
	tab.Each(func(k string, _ *int) bool {
		visited = append(visited, k)
		tab.Delete("b")
		return true
	})
	must.Eq(t, []string{"a", "c"}, visited)
	must.Eq(t, 2, tab.Len())
}
