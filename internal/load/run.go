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
		recorder: &recorder{newest: make(map[string]int64)},
		versions: make(map[string]int64),
		started:  time.Now(),
	}
	d.runAll(ctx)
	d.client.CloseIdleConnections()
	return newReport(d.started.Add(config.WarmUp), time.Since(d.started), d.recorder.Records), nil
}

// runAll starts all callers and trainers. Arrivals stop after the duration;
// requests in flight then get the finishing time.
func (d *driver) runAll(ctx context.Context) {
	requests, cancel := context.WithTimeout(ctx, d.config.Duration+d.config.DrainTimeout)
	defer cancel()
	arrivals, stop := context.WithTimeout(requests, d.config.Duration)
	defer stop()
	go func() {
		select {
		case <-d.config.Stop:
			stop()
		case <-arrivals.Done():
		}
	}()
	for _, plan := range d.config.Trainers {
		model := d.config.Declared.Trainers[plan.Name].Model
		d.recorder.newest[model] = max(d.recorder.newest[model], plan.FirstVersion)
	}
	var wg sync.WaitGroup
	for i, mix := range d.config.Callers {
		random := rand.New(rand.NewPCG(d.config.Seed, uint64(i)))
		source := arrival{
			hosts: newEntries(mix.Entries, d.config.Entries), perSecond: mix.RatePerSecond, double: mix.DuplicateShare, random: random, send: d.complete,
			next: func() (call, error) { return mix.newCall(random, d.modelLimit(mix.Model)) },
		}
		wg.Go(func() { d.arrive(arrivals, requests, source) })
	}
	for i, mix := range d.config.Services {
		random := rand.New(rand.NewPCG(d.config.Seed, uint64(1000+i)))
		source := arrival{
			hosts: newEntries(mix.Entries, d.config.Entries), perSecond: mix.RatePerSecond, double: mix.DuplicateShare, random: random, send: d.callService,
			next: mix.newCall,
		}
		wg.Go(func() { d.arrive(arrivals, requests, source) })
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

// arrival is one stream of arriving calls. Its random numbers are used by one
// goroutine only.
type arrival struct {
	hosts     *entries
	perSecond float64
	double    float64 // share of calls sent a second time
	random    *rand.Rand
	next      func() (call, error)
	send      func(context.Context, call, *Attempt)
}

// arrive starts calls as a Poisson process and waits for the last of them.
func (d *driver) arrive(arrivals, requests context.Context, source arrival) {
	if source.perSecond <= 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Now()
	for {
		at = at.Add(time.Duration(source.random.ExpFloat64() / source.perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
		case <-arrivals.Done():
			return
		}
		c, err := source.next()
		if err != nil {
			klog.ErrorS(err, "build a request")
			return
		}
		wg.Go(func() { d.run(requests, source.hosts, c, source.send) })
		if source.random.Float64() < source.double {
			delay := time.Duration(source.random.Int64N(int64(doubleDelay)))
			wg.Go(func() {
				time.Sleep(delay)
				d.run(requests, source.hosts, c, source.send)
			})
		}
	}
}
