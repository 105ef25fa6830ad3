package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/checker"
	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
)

const (
	faultTime  = 34 * time.Second // of the load, which goes on after the last fault
	loadTime   = 45 * time.Second
	finishTime = 20 * time.Second

	// longestCut, longestOutage and longestPause bound single faults. A pause
	// may outlast the lease term of 6 s.
	longestCut    = 6 * time.Second
	longestOutage = 4 * time.Second
	longestPause  = 8 * time.Second
	// configGrace allows each fault once after a publication, beside the 10 s
	// that a configuration has without faults.
	configGrace = 10*time.Second + longestCut + longestOutage + longestPause

	defaultSeed  = 1
	seedVariable = "SESAMESTAND_SEED"
	knownRed     = "../../KNOWN-RED.txt"
)

// Guards against faults that break a promise only in combination: killed and
// paused entry hosts, data centres cut off from the platform, a log that is out
// or loses answers, engines that crash or fall silent, and racing publishers.
func TestRandomFaults(t *testing.T) {
	seed := chooseSeed(t)
	s := startSystem(t, "association", seed, tokenTime)
	f := &faults{system: s, seed: seed, busy: make([]sync.Mutex, len(s.Entries))}
	config := s.Mix(load.MixOptions{
		CallerRate: 10, ServiceRate: 10, GroupsPerStep: 6, TrainTime: 2 * time.Second, StepsAhead: 1, Duration: loadTime,
	})
	config.DrainTimeout = finishTime
	config.ProbeServices = f.raced()
	records := s.loadBeside(t, config, f.run)
	s.waitReady(t)
	facts := s.Facts(records)
	facts.Publications, facts.ConfigGrace = f.publications, configGrace
	requireKept(t, facts, "P1", "P3", "P4", "P6", "P9")
}

// chooseSeed returns the seed of the environment or the default one. It ends
// the test when KNOWN-RED.txt lists this test with this seed.
func chooseSeed(t *testing.T) uint64 {
	t.Helper()
	seed := uint64(defaultSeed)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		must.NoError(t, err)
	}
	setting := fmt.Sprintf("%s=%d", seedVariable, seed)
	t.Log(setting)
	passOverKnownRed(t, setting)
	return seed
}

// passOverKnownRed ends the test when a line of KNOWN-RED.txt begins with the
// test's name and the given words, and then prints the line.
func passOverKnownRed(t *testing.T, words ...string) {
	t.Helper()
	data, err := os.ReadFile(knownRed)
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

// pausable is an entry host's process that can be paused.
type pausable interface {
	Pause() error
	Resume() error
}

// faults injects faults of all kinds side by side.
type faults struct {
	*system
	seed uint64
	busy []sync.Mutex // of each entry host, held while it is down or paused

	races        int
	publications []checker.Publication
}

// run injects faults until the time for faults is over, then heals the rest.
func (f *faults) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, faultTime)
	defer cancel()
	kinds := []struct {
		every  time.Duration // mean pause between two faults of the kind
		inject func(context.Context, *rand.Rand) error
	}{
		{4 * time.Second, f.kill},
		{4 * time.Second, f.pause},
		{5 * time.Second, f.cut},
		{3 * time.Second, f.disturbLog},
		{2 * time.Second, f.breakEngine},
		{3 * time.Second, f.race},
	}
	errs := make([]error, len(kinds))
	var wg sync.WaitGroup
	for i, kind := range kinds {
		random := rand.New(rand.NewPCG(f.seed, uint64(i)))
		wg.Go(func() {
			for errs[i] == nil && sleep(ctx, between(random, kind.every/2, kind.every*3/2)) {
				errs[i] = kind.inject(ctx, random)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (f *faults) kill(ctx context.Context, random *rand.Rand) error {
	i := random.IntN(len(f.Entries))
	down := between(random, 500*time.Millisecond, 4*time.Second)
	if !f.busy[i].TryLock() {
		return nil
	}
	defer f.busy[i].Unlock()
	f.Entries[i].Process.Kill()
	sleep(ctx, down)
	return f.Restart(f.Entries[i])
}

func (f *faults) pause(ctx context.Context, random *rand.Rand) error {
	i := random.IntN(len(f.Entries))
	length := between(random, 200*time.Millisecond, longestPause)
	if !f.busy[i].TryLock() {
		return nil
	}
	defer f.busy[i].Unlock()
	process, ok := f.Entries[i].Process.(pausable)
	if !ok {
		return errors.New("the entry host's process cannot be paused")
	}
	if err := process.Pause(); err != nil {
		return err
	}
	sleep(ctx, length)
	return process.Resume()
}

func (f *faults) cut(ctx context.Context, random *rand.Rand) error {
	dc := f.DataCentres[random.IntN(len(f.DataCentres))]
	f.CutPlatform(dc, true)
	sleep(ctx, between(random, time.Second, longestCut))
	f.CutPlatform(dc, false)
	return nil
}

func (f *faults) disturbLog(ctx context.Context, random *rand.Rand) error {
	choices := []logd.Faults{
		{Outage: logd.OutageClosed}, {Outage: logd.Outage503}, {DelayMS: 400}, {LoseAnswers: 20}, {LoseAnswers: -1},
	}
	f.Log.SetFaults(choices[random.IntN(len(choices))])
	sleep(ctx, between(random, 500*time.Millisecond, longestOutage))
	f.Log.SetFaults(logd.Faults{})
	return nil
}

func (f *faults) breakEngine(_ context.Context, random *rand.Rand) error {
	engine := f.Engines[random.IntN(len(f.Engines))]
	down := between(random, 200*time.Millisecond, 2*time.Second)
	if random.IntN(2) == 0 {
		engine.Crash(down)
	} else {
		engine.Freeze()
	}
	return nil
}
