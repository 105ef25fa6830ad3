package logstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// Guards against a fenced writer of a former epoch that ends the current assignment.
func TestFencedFormerWriterLeavesNewerAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = time.Second
		group := logstore.NewGroup(memlog.New(1), logstore.Membership{Group: "group", Member: "member", Topic: "topic", TTL: ttl}, func() {})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go group.Run(ctx)
		owned := func() int64 {
			time.Sleep(ttl)
			synctest.Wait()
			must.MapLen(t, 1, group.Owned())
			return group.Owned()[0]
		}
		former := owned()
		group.SetPaused(ctx, true)
		group.SetPaused(ctx, false)
		present := owned()
		must.Greater(t, former, present)
		group.ReleaseFenced(0, former)
		must.Eq(t, map[int]int64{0: present}, group.Owned())
		group.ReleaseFenced(0, present)
		must.MapEmpty(t, group.Assigned())
	})
}
