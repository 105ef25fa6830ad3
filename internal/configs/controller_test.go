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

// hosts is a set of entry hosts in one process: members and their gRPC clients.
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

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func files(replicas int) map[string]string {
	return map[string]string{"m.ini": fmt.Sprintf("[model m]\nreplicas = x:%d\n", replicas)}
}

// Guards against a host that loses its configuration in an outage, and against
// a fresh host that stays empty or goes back when the log returns.
func TestFreshHostTakesTheConfigurationFromAPeerWhileTheLogIsOut(t *testing.T) {
	log := testlog.New()
	a := start(t, "a", log, nil)
	published, err := Publish(limited(t), log, files(3))
	must.NoError(t, err)
	version, err := a.WaitForVersion(limited(t), 0)
	must.NoError(t, err)
	must.Eq(t, published.Version, version)

	log.SetDown(true)
	b := start(t, "b", log, map[string]*Controller{"a": a})
	version, err = b.WaitForVersion(limited(t), 0)
	must.NoError(t, err)
	must.Eq(t, published.Version, version)
	must.True(t, b.Ready())

	log.SetDown(false)
	second, err := Publish(limited(t), log, files(4))
	must.NoError(t, err)
	version, err = b.WaitForVersion(limited(t), published.Version)
	must.NoError(t, err)
	must.Eq(t, second.Version, version)
	set, _ := b.Current()
	must.Eq(t, 4, set.Models["m"].Replicas["x"])
}

// Guards against a host that was cut off while records expired: it must catch
// up from a peer without a snapshot in the log.
func TestHostCatchesUpAfterRecordsExpired(t *testing.T) {
	log := testlog.New()
	a := start(t, "a", log, nil)
	published, err := Publish(limited(t), log, files(3))
	must.NoError(t, err)
	_, err = a.WaitForVersion(limited(t), 0)
	must.NoError(t, err)
	log.Expire(platform.StreamConfig, published.Version)
	b := start(t, "b", log, map[string]*Controller{"a": a})
	version, err := b.WaitForVersion(limited(t), 0)
	must.NoError(t, err)
	must.Eq(t, published.Version, version)
}

// Guards against a lost answer that is reported as a failure, published twice
// or reported as accepted although the record is not in the log.
func TestPublishSettlesLostAnswers(t *testing.T) {
	for _, fault := range []testlog.Fault{testlog.LoseAnswer, testlog.LoseRequest, testlog.Refuse} {
		log := testlog.New()
		log.Fail(fault, fault)
		published, err := Publish(limited(t), log, files(3))
		must.NoError(t, err)
		fresh := start(t, "a", log, nil)
		version, err := fresh.WaitForVersion(limited(t), 0)
		must.NoError(t, err)
		must.Eq(t, published.Version, version)
		again, err := Publish(limited(t), log, files(3))
		must.NoError(t, err)
		must.Eq(t, Published{Version: version, Unchanged: true}, again)
	}
}

// Guards against two operators who are both told that they won.
func TestRacingPublishersLearnTheWinner(t *testing.T) {
	log := testlog.New()
	const racers = 5
	results := make([]Published, racers)
	failures := make([]error, racers)
	var group sync.WaitGroup
	barrier := &barrierLog{Log: log, waiting: racers, open: make(chan struct{})}
	for i := range racers {
		group.Go(func() { results[i], failures[i] = Publish(limited(t), barrier, files(i+1)) })
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
		var lost *ConflictError
		must.True(t, errors.As(err, &lost))
		must.Eq(t, winner, int(lost.ActiveVersion))
	}
	must.Eq(t, 1, winners)
}

// Guards against an operator who is locked out after all records have expired,
// and against a reset while the version in force is known.
func TestResetAfterAllRecordsExpired(t *testing.T) {
	log := testlog.New()
	first, err := Publish(limited(t), log, files(1))
	must.NoError(t, err)
	_, err = Reset(limited(t), log, files(2))
	must.ErrorContains(t, err, "version 1 is in force")
	log.Expire(platform.StreamConfig, first.Version)
	_, err = Publish(limited(t), log, files(2))
	must.ErrorIs(t, err, errNoVersion)
	a := start(t, "a", log, nil)
	log.Fail(testlog.LoseAnswer)
	second, err := Reset(limited(t), log, files(2))
	must.NoError(t, err)
	version, err := a.WaitForVersion(limited(t), 0)
	must.NoError(t, err)
	must.Eq(t, second.Version, version)
	third, err := Publish(limited(t), log, files(3))
	must.NoError(t, err)
	must.Greater(t, second.Version, third.Version)
}

// barrierLog holds the first appends until all publishers have one.
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

// Guards against a publication that hangs or claims a verdict when the log is out.
func TestPublishGivesUpAtItsDeadline(t *testing.T) {
	log := testlog.New()
	log.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := Publish(ctx, log, files(1))
	must.ErrorContains(t, err, "cannot be read")
}
