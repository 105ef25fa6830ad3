package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// driver holds the state of one load run.
type driver struct {
	config   Config
	client   *http.Client
	recorder *recorder
	versions map[string]int64 // reserved by trainers; guarded by recorder.mu
	started  time.Time
}

// Run generates load for the configured duration and returns what callers and
// trainers observed. It stops early when ctx is done.
func Run(ctx context.Context, config Config) (Report, error) {
	config, err := config.withDefaults()
	if err != nil {
		return Report{}, err
	}
	d := &driver{
		config:   config,
		client:   newClient(),
		recorder: &recorder{newestVersions: make(map[string]int64)},
		versions: make(map[string]int64),
		started:  time.Now(),
	}
	d.runAll(ctx)
	d.client.CloseIdleConnections()
	return newReport(d.started.Add(config.WarmUp), time.Since(d.started), d.recorder.Records), nil
}

// runAll runs all callers and trainers. Arrivals stop after Duration; requests in
// flight may then continue for DrainTimeout.
func (d *driver) runAll(ctx context.Context) {
	requestCtx, cancel := context.WithTimeout(ctx, d.config.Duration+d.config.DrainTimeout)
	defer cancel()
	arrivalCtx, stop := context.WithTimeout(requestCtx, d.config.Duration)
	defer stop()
	go func() {
		select {
		case <-d.config.Stop:
			stop()
		case <-arrivalCtx.Done():
		}
	}()
	for _, plan := range d.config.Trainers {
		model := d.config.Declared.Trainers[plan.Name].Model
		d.recorder.newestVersions[model] = max(d.recorder.newestVersions[model], plan.FirstVersion)
	}
	var wg sync.WaitGroup
	for i, mix := range d.config.Callers {
		random := rand.New(rand.NewPCG(d.config.Seed, uint64(i)))
		source := arrivalProcess{
			hosts: newEntryRotation(mix.Entries, d.config.Entries), ratePerSecond: mix.RatePerSecond, duplicateShare: mix.DuplicateShare, random: random, send: d.complete,
			next: func() (call, error) { return mix.newCall(random, d.modelLimit(mix.Model)) },
		}
		wg.Go(func() { d.generateArrivals(arrivalCtx, requestCtx, source) })
	}
	for i, mix := range d.config.Services {
		random := rand.New(rand.NewPCG(d.config.Seed, uint64(1000+i)))
		source := arrivalProcess{
			hosts: newEntryRotation(mix.Entries, d.config.Entries), ratePerSecond: mix.RatePerSecond, duplicateShare: mix.DuplicateShare, random: random, send: d.callService,
			next: mix.newCall,
		}
		wg.Go(func() { d.generateArrivals(arrivalCtx, requestCtx, source) })
	}
	for _, plan := range d.config.Trainers {
		wg.Go(func() { newTrainer(d, plan).run(arrivalCtx) })
	}
	if len(d.config.ProbeServices) > 0 {
		wg.Go(func() { d.probe(arrivalCtx) })
	}
	wg.Wait()
}

// modelLimit returns the declared max_tokens of a model, or 0.
func (d *driver) modelLimit(model string) int {
	if d.config.Declared == nil || d.config.Declared.Models[model] == nil {
		return 0
	}
	return d.config.Declared.Models[model].MaxTokens
}

// arrivalProcess generates the calls of one mix. Only one goroutine may use its
// random number generator.
type arrivalProcess struct {
	hosts          *entryRotation
	ratePerSecond  float64
	duplicateShare float64 // share of calls sent a second time
	random         *rand.Rand
	next           func() (call, error)
	send           func(context.Context, call, *Attempt)
}

// generateArrivals starts calls as a Poisson process and waits until all of them
// have ended.
func (d *driver) generateArrivals(arrivalCtx, requestCtx context.Context, source arrivalProcess) {
	if source.ratePerSecond <= 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Now()
	for {
		at = at.Add(time.Duration(source.random.ExpFloat64() / source.ratePerSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
		case <-arrivalCtx.Done():
			return
		}
		c, err := source.next()
		if err != nil {
			klog.ErrorS(err, "failed to build request; stopping arrivals")
			return
		}
		wg.Go(func() { d.runCall(requestCtx, source.hosts, c, source.send) })
		if source.random.Float64() < source.duplicateShare {
			delay := time.Duration(source.random.Int64N(int64(maxDuplicateDelay)))
			wg.Go(func() {
				time.Sleep(delay)
				d.runCall(requestCtx, source.hosts, c, source.send)
			})
		}
	}
}
