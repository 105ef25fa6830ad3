package permit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against an item that is sent so late that it can arrive after the grace of the
// end of its job, which another host may have acknowledged right after the last read.
func TestPermissionEndsBeforeTheGraceOfAnUnknownEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{EndGrace: time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "grace"))}
		asOf := time.Unix(1000, 0)
		now := asOf.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "age")))
		must.True(t, terms.Expiry(asOf).Before(asOf.Add(terms.EndGrace)) || terms.EndGrace < marginShare)
		if terms.Allows(asOf, now) {
			must.True(t, now.Before(terms.Expiry(asOf)))
		}
	})
}

// Guards against an owner that sends nothing although it reads its partition regularly.
func TestRegularReadsAllowItemsToBeSent(t *testing.T) {
	terms := Terms{EndGrace: 3 * time.Second}
	asOf := time.Unix(1000, 0)
	must.True(t, terms.Allows(asOf, asOf.Add(2*time.Second)))
	must.False(t, terms.Allows(asOf, asOf.Add(2500*time.Millisecond)))
	must.False(t, terms.Allows(time.Time{}, asOf))
}
