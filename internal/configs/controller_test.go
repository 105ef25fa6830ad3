package configs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/internal/testlog"
)

// hosts implements membership and peer clients for entry hosts in one process.
type hosts struct {
	self        string
	controllers map[string]*Controller
}

func (h hosts) Self() cluster.Member { return cluster.Member{ID: h.self, PeerAddr: h.self} }

func (h hosts) All() []cluster.Member {
	var all []cluster.Member
	for _, id := range []string{"a", "b"} {
		all = append(all, cluster.Member{ID: id, PeerAddr: id})
	}
	return all
}

type snapshotClient struct {
	peerpb.PeerClient
	controller *Controller
}

func (c snapshotClient) Snapshot(ctx context.Context, r *peerpb.SnapshotRequest, _ ...grpc.CallOption) (*peerpb.SnapshotReply, error) {
	return c.controller.Snapshot(ctx, r)
}

func (h hosts) Client(addr string) (peerpb.PeerClient, error) {
	if h.controllers[addr] == nil {
		return nil, errors.New("no such host")
	}
	return snapshotClient{controller: h.controllers[addr]}, nil
}

func start(t *testing.T, id string, log platform.Log, controllers map[string]*Controller) *Controller {
	t.Helper()
	recorder, err := telemetry.NewRecorder(id, 100)
	must.NoError(t, err)
	h := hosts{self: id, controllers: controllers}
	c := New(Config{PollWait: 50 * time.Millisecond, RetryDelay: time.Millisecond}, log, h, h, recorder)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func files(replicas int) map[string]string {
	return map[string]string{"m.ini": fmt.Sprintf("[model m]\nreplicas = x:%d\n", replicas)}
}

// Guards against a host that loses its configuration during a log outage, and
// against a new host that stays without a configuration or returns to an older
// version when the log is available again.
func TestNewHostInstallsPeerConfigurationDuringLogOutage(t *testing.T) {
	log := testlog.New()
	a := start(t, "a", log, nil)
	published, err := Publish(testContext(t), log, files(3))
	must.NoError(t, err)
	version, err := a.WaitForVersion(testContext(t), 0)
	must.NoError(t, err)
	must.Eq(t, published.Version, version)

	log.SetUnavailable(true)
	b := start(t, "b", log, map[string]*Controller{"a": a})
	version, err = b.WaitForVersion(testContext(t), 0)
	must.NoError(t, err)
	must.Eq(t, published.Version, version)
	must.True(t, b.Ready())

	log.SetUnavailable(false)
	second, err := Publish(testContext(t), log, files(4))
	must.NoError(t, err)
	version, err = b.WaitForVersion(testContext(t), published.Version)
	must.NoError(t, err)
	must.Eq(t, second.Version, version)
	set, _ := b.Current()
	must.Eq(t, 4, set.Models["m"].Replicas["x"])
}

// Guards against a host that never catches up because records expired before it
// read them: without a snapshot in the log it must install a peer's state.
func TestHostCatchesUpAfterRecordsExpired(t *testing.T) {
	log := testlog.New()
	a := start(t, "a", log, nil)
	published, err := Publish(testContext(t), log, files(3))
	must.NoError(t, err)
	_, err = a.WaitForVersion(testContext(t), 0)
	must.NoError(t, err)
	log.Expire(platform.StreamConfig, published.Version)
	b := start(t, "b", log, map[string]*Controller{"a": a})
	version, err := b.WaitForVersion(testContext(t), 0)
	must.NoError(t, err)
	must.Eq(t, published.Version, version)
}

// Guards against a publication that is reported as failed because an append was
// refused or its response was lost, that is published twice, or that is reported as
// accepted although the record is not in the log.
func TestPublishWithFailedAppends(t *testing.T) {
	for _, fault := range []testlog.Fault{testlog.LoseResponse, testlog.LoseRequest, testlog.Refuse} {
		log := testlog.New()
		log.InjectFaults(fault, fault)
		published, err := Publish(testContext(t), log, files(3))
		must.NoError(t, err)
		fresh := start(t, "a", log, nil)
		version, err := fresh.WaitForVersion(testContext(t), 0)
		must.NoError(t, err)
		must.Eq(t, published.Version, version)
		again, err := Publish(testContext(t), log, files(3))
		must.NoError(t, err)
		must.Eq(t, Published{Version: version, Unchanged: true}, again)
	}
}

// Guards against concurrent publications that are both reported as accepted.
func TestOneOfConcurrentPublicationsIsAccepted(t *testing.T) {
	log := testlog.New()
	const publishers = 5
	results := make([]Published, publishers)
	failures := make([]error, publishers)
	var group sync.WaitGroup
	barrier := &barrierLog{Log: log, waiting: publishers, open: make(chan struct{})}
	for i := range publishers {
		group.Go(func() { results[i], failures[i] = Publish(testContext(t), barrier, files(i+1)) })
	}
	group.Wait()
	winner := 0
	for _, r := range results {
		winner = max(winner, int(r.Version))
	}
	winners := 0
	for i, err := range failures {
		if err == nil {
			winners++
			must.Eq(t, winner, int(results[i].Version))
			continue
		}
		var conflict *ConflictError
		must.True(t, errors.As(err, &conflict))
		must.Eq(t, winner, int(conflict.ActiveVersion))
	}
	must.Eq(t, 1, winners)
}

// Guards against a configuration that cannot be published any more after all
// records have expired, and against a reset while the active version is known.
func TestResetAfterAllRecordsExpired(t *testing.T) {
	log := testlog.New()
	first, err := Publish(testContext(t), log, files(1))
	must.NoError(t, err)
	_, err = Reset(testContext(t), log, files(2))
	must.ErrorContains(t, err, "version 1 is active")
	log.Expire(platform.StreamConfig, first.Version)
	_, err = Publish(testContext(t), log, files(2))
	must.ErrorIs(t, err, errVersionUnknown)
	a := start(t, "a", log, nil)
	log.InjectFaults(testlog.LoseResponse)
	second, err := Reset(testContext(t), log, files(2))
	must.NoError(t, err)
	version, err := a.WaitForVersion(testContext(t), 0)
	must.NoError(t, err)
	must.Eq(t, second.Version, version)
	third, err := Publish(testContext(t), log, files(3))
	must.NoError(t, err)
	must.Greater(t, second.Version, third.Version)
}

// barrierLog blocks appends until every publisher has started one.
type barrierLog struct {
	*testlog.Log
	mu      sync.Mutex
	waiting int
	open    chan struct{}
}

func (l *barrierLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.mu.Lock()
	if l.waiting--; l.waiting == 0 {
		close(l.open)
	}
	l.mu.Unlock()
	<-l.open
	return l.Log.Append(ctx, stream, records)
}

// Guards against a publication that blocks past its deadline or reports a result
// while the log is unavailable.
func TestPublishFailsAtDeadline(t *testing.T) {
	log := testlog.New()
	log.SetUnavailable(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := Publish(ctx, log, files(1))
	must.ErrorContains(t, err, "cannot be read")
}
