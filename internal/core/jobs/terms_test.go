package jobs

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Guards against terms whose length in a record depends on their values, and against
// values that are decoded differently from how they were encoded.
func TestTermsHaveOneLength(t *testing.T) {
	const length = len(`"000000 000000000000 000000 0"`)
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{
			PrefixBytes: rapid.IntRange(0, maxPrefixBytes).Draw(t, "prefix"), MaxAttempts: rapid.IntRange(0, maxTermAttempts).Draw(t, "attempts"),
			Retention:     time.Duration(rapid.Int64Range(0, maxRetentionMs).Draw(t, "retention")) * time.Millisecond,
			SingleVersion: rapid.Bool().Draw(t, "single"),
		}
		data, err := json.Marshal(terms)
		must.NoError(t, err)
		must.EqOp(t, length, len(data))
		var read Terms
		must.NoError(t, json.Unmarshal(data, &read))
		must.EqOp(t, terms, read)
	})
	data, err := json.Marshal(Terms{PrefixBytes: -1, Retention: -time.Second, MaxAttempts: 1 << 40})
	must.NoError(t, err)
	must.EqOp(t, length, len(data))
}

// Guards against a job of a former version, without terms, that has no route.
func TestRouteOfJobWithoutTerms(t *testing.T) {
	c := &deployment.Config{Routes: []deployment.Route{
		{Name: "all", Host: "h", Prefix: "/", Kind: deployment.Jobs},
		{Name: "jobs", Host: "h", Prefix: "/a/", Kind: deployment.Jobs, Retention: time.Second},
		{Name: "pages", Host: "h", Prefix: "/a/b/", Kind: deployment.Idempotent},
	}}
	c.Index()
	must.EqOp(t, "jobs", RouteOf(c, &Job{Host: "h", Path: "/a/b/c"}).Name)
	must.EqOp(t, "all", RouteOf(c, &Job{Host: "h", Path: "/a/b/c", Terms: Terms{PrefixBytes: 1}}).Name)
	must.EqOp(t, "jobs", RouteOf(c, &Job{Host: "h", Path: "/a/b/c", Terms: Terms{PrefixBytes: 9}}).Name)
	must.EqOp(t, "jobs", RouteOf(c, &Job{Host: "h", Path: "/a/b/c", Terms: Terms{PrefixBytes: 999}}).Name)
	must.Nil(t, RouteOf(c, &Job{Host: "other", Path: "/a/b/c"}))
	must.Nil(t, RouteOf(c, &Job{Host: "h", Path: "x"}))
}
