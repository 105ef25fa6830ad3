package logstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// Guards against a fenced writer of a former epoch that ends the present assignment.
func TestFencedFormerWriterLeavesNewerAssignment(t *testing.T) {
	group := logstore.NewGroup(memlog.New(1), logstore.Membership{Group: "group", Member: "member", Topic: "topic", TTL: time.Second}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go group.Run(ctx)
	owned := func() int64 {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(group.Owned()) == 1 }), wait.Timeout(20*time.Second)))
		return group.Owned()[0]
	}
	former := owned()
	group.SetPaused(ctx, true)
	group.SetPaused(ctx, false)
	present := owned()
	must.Greater(t, former, present)
	group.ReleaseFenced(0, former)
	must.Eq(t, map[int]int64{0: present}, group.Owned())
}
