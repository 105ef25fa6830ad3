package workspace

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a declaration that is invalid in one place and takes others with it, and
// against a problem that quotes a key.
func TestInvalidDeclarationsAreReportedWithTheirPlace(t *testing.T) {
	d, problems := NewDirectory([]Declared{
		{Name: "a", Keys: []string{"secret-a", "", "shared"}},
		{Name: "b", Keys: []string{"secret-b", "shared", "secret-b"}, Priority: 3, HasPriority: true},
		{Name: "", Keys: []string{"secret-c"}},
		{Name: "a", Keys: []string{"secret-d"}},
		{Name: "e", Keys: []string{"secret-e"}, Priority: -1, HasPriority: true},
		{Name: "f\r\nX: y", Keys: []string{"shared", "secret-f\n"}},
	})
	must.EqOp(t, 2, d.Len())
	must.EqOp(t, "a", d.Lookup(HashKey("secret-a")).Name)
	must.EqOp(t, 3, d.Lookup(HashKey("secret-b")).PriorityOr(1))
	for _, key := range []string{"", "shared", "secret-c", "secret-d", "secret-e", "secret-f\n", "unknown"} {
		must.Nil(t, d.Lookup(HashKey(key)), must.Sprint(key))
	}
	type place struct{ workspace, key int }
	var places []place
	for _, p := range problems {
		places = append(places, place{p.Workspace, p.Key})
		must.False(t, strings.Contains(p.String(), "secret") || strings.Contains(p.String(), "shared"))
	}
	must.True(t, slices.Equal([]place{
		{0, 1}, {0, 2}, {1, 1}, {1, 2}, {2, WholeWorkspace}, {3, WholeWorkspace}, {4, WholeWorkspace}, {5, WholeWorkspace}, {5, 0}, {5, 1},
	}, places), must.Sprint(places))
}

// Guards against requests that need no key because all declarations are invalid.
func TestKeysAreRequiredIfNoDeclarationIsValid(t *testing.T) {
	d, _ := NewDirectory([]Declared{{Name: ""}})
	must.True(t, d.Enabled())
	d, _ = NewDirectory(nil)
	must.False(t, d.Enabled())
	must.False(t, (*Directory)(nil).Enabled())
	must.Nil(t, (*Directory)(nil).Lookup(HashKey("")))
}

// Guards against a key that is taken from a header that names several, or another scheme.
func TestBearerKey(t *testing.T) {
	for _, c := range []struct {
		values []string
		key    string
	}{
		{[]string{"Bearer k"}, "k"}, {[]string{"bearer  k "}, "k"}, {nil, ""}, {[]string{"Bearer "}, ""},
		{[]string{"Bearer"}, ""}, {[]string{"k"}, ""}, {[]string{"Basic k"}, ""}, {[]string{"Bearer a", "Bearer b"}, ""},
	} {
		key, ok := BearerKey(c.values)
		must.EqOp(t, c.key != "", ok)
		if ok {
			must.EqOp(t, c.key, key)
		}
	}
}

// Guards against a host that serves a removed key after its time, one that serves before
// its first read, and one that stops while callers still expect answers.
func TestPermissionFollowsTheNewestCompleteRead(t *testing.T) {
	asOf := time.Unix(100, 0)
	terms := Terms{Strict: true, RevokeWithin: 5 * time.Second}
	must.True(t, terms.Allows(asOf, asOf.Add(3*time.Second)))
	must.False(t, terms.Allows(asOf, terms.Expiry(asOf)))
	for _, within := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Hour} {
		served := Terms{Strict: true, RevokeWithin: within}.Expiry(asOf).Sub(asOf)
		must.Between(t, within*6/10, served, within*9/10)
		must.True(t, within < 2*time.Second || within-served >= 500*time.Millisecond)
	}
	must.False(t, terms.Allows(time.Time{}, time.Time{}.Add(time.Millisecond)))
	must.False(t, terms.Expiry(time.Time{}).IsZero())
	terms.Strict = false
	must.True(t, terms.Allows(time.Time{}, asOf))
	must.True(t, terms.Expiry(asOf).IsZero())
}

// Guards against a new key that is refused for good by a host with an old configuration.
func TestUnknownKeyIsRefusedByAFreshConfigurationOnly(t *testing.T) {
	asOf, key, other := time.Unix(100, 0), HashKey("k"), HashKey("other")
	late := asOf.Add(time.Minute)
	d, _ := NewDirectory([]Declared{{Name: "a", Keys: []string{"k"}}})
	for _, c := range []struct {
		strict bool
		key    *KeyHash
		now    time.Time
		want   Verdict
	}{
		{true, &key, asOf, Admitted}, {true, &key, late, Undecided}, {true, &other, asOf, UnknownKey}, {true, nil, asOf, UnknownKey},
		{true, &other, late, Undecided}, {true, nil, late, UnknownKey}, {false, &key, late, Admitted}, {false, &other, late, Undecided}, {false, nil, asOf, UnknownKey},
	} {
		terms := Terms{Strict: c.strict, RevokeWithin: 5 * time.Second}
		_, got := terms.Authorize(d, c.key, asOf, c.now)
		must.EqOp(t, c.want, got)
	}
}
