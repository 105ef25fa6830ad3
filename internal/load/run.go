package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// driver is one run.
type driver struct {
	config   Config
	client   *http.Client
	entries  *entries
	recorder *recorder
	versions map[string]int64 // reserved by trainers; guarded by recorder.mu
	started  time.Time
}

// Run drives the system for the configured duration and returns what callers
// and trainers saw. It ends early when ctx ends.
func Run(ctx context.Context, config Config) (Report, error) {
	config, err := config.withDefaults()
	if err != nil {
		return Report{}, err
	}
	d := &driver{
		config:   config,
		client:   newClient(),
		entries:  &entries{addrs: config.Entries},
		recorder: &recorder{newest: make(map[string]int64)},
		versions: make(map[string]int64),
		started:  time.Now(),
	}
	d.runAll(ctx)
	d.client.CloseIdleConnections()
	return newReport(time.Since(d.started), d.recorder.Records), nil
}

// runAll starts all callers and trainers. Arrivals stop after the duration;
// requests in flight then get the finishing time.
func (d *driver) runAll(ctx context.Context) {
	requests, cancel := context.WithTimeout(ctx, d.config.Duration+d.config.Finish)
	defer cancel()
	arrivals, stop := context.WithTimeout(requests, d.config.Duration)
	defer stop()
	for _, plan := range d.config.Trainers {
		model := d.config.Declared.Trainers[plan.Name].Model
		d.recorder.newest[model] = max(d.recorder.newest[model], plan.FirstVersion)
	}
	var wg sync.WaitGroup
	for i, mix := range d.config.Callers {
		random := rand.New(rand.NewPCG(d.config.Seed, uint64(i)))
		wg.Go(func() {
			d.arrive(arrivals, requests, mix.RatePerSecond, random, d.complete, func() (call, error) { return mix.newCall(random, d.modelLimit(mix.Model)) })
		})
	}
	for i, mix := range d.config.Services {
		random := rand.New(rand.NewPCG(d.config.Seed, uint64(1000+i)))
		wg.Go(func() { d.arrive(arrivals, requests, mix.RatePerSecond, random, d.confirm, mix.newCall) })
	}
	for _, plan := range d.config.Trainers {
		wg.Go(func() { newTrainer(d, plan).run(arrivals) })
	}
	if len(d.config.ProbeServices) > 0 {
		wg.Go(func() { d.probe(arrivals) })
	}
	wg.Wait()
}

// modelLimit returns the declared longest answer of a model, or 0.
func (d *driver) modelLimit(model string) int {
	if d.config.Declared == nil || d.config.Declared.Models[model] == nil {
		return 0
	}
	return d.config.Declared.Models[model].MaxTokens
}

// arrive starts calls as a Poisson process and waits for the last of them.
func (d *driver) arrive(arrivals, requests context.Context, perSecond float64, random *rand.Rand,
	send func(context.Context, call, *Attempt), next func() (call, error)) {
	if perSecond <= 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Now()
	for {
		at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
		case <-arrivals.Done():
			return
		}
		c, err := next()
		if err != nil {
			klog.ErrorS(err, "build a request")
			return
		}
		wg.Go(func() { d.run(requests, c, send) })
	}
}
