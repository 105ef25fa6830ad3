package pool

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/pool"
)

const (
	// measuredTime is the age of a job up to which its ended runs count for the throughput:
	// several rounds, and short beside the time for which servers are slow.
	measuredTime = 30 * time.Second
	// defaultTokens is the expected output of an item that says nothing of it.
	defaultTokens = 500
)

// Demands derives the demand of services from their jobs. It reads each result once. It is
// not safe for concurrent use.
type Demands struct{ jobs map[*jobs.Entry]*jobWork }

// NewDemands returns Demands that have read no jobs.
func NewDemands() *Demands { return &Demands{jobs: make(map[*jobs.Entry]*jobWork)} }

// jobWork is the work of a job, in expected tokens of output.
type jobWork struct {
	items       map[string]float64 // by item
	total, done float64
	results     int // read so far
	endedTokens float64
	endedTime   time.Duration
	seen        bool
}

// Of returns the demand of each service. target returns the service of a job, or "" if it has
// none, and how long after its submission its results are due.
func (d *Demands) Of(table *jobs.Table, target func(*jobs.Entry) (service string, due time.Duration), now time.Time) map[string]*pool.Demand {
	demands := make(map[string]*pool.Demand)
	table.Each(func(e *jobs.Entry) bool {
		service, due := target(e)
		if service == "" {
			return true
		}
		demand := demands[service]
		if demand == nil {
			demand = &pool.Demand{}
			demands[service] = demand
		}
		w := d.read(e)
		round := pool.Round{Trainer: trainerOf(e.Job), Submitted: e.ReadAt, Due: due, Tokens: w.total}
		if !e.Ended {
			round.Open = w.total - w.done
		}
		demand.Rounds = append(demand.Rounds, round)
		if now.Sub(e.ReadAt) < measuredTime {
			demand.EndedTokens += w.endedTokens
			demand.EndedTime += w.endedTime
		}
		return true
	})
	d.forget()
	return demands
}

// trainerOf returns the name under which the rounds of a job's trainer are counted.
func trainerOf(job *jobs.Job) string { return job.Workspace + "/" + job.Host + "/" + job.Model }

// read returns the work of a job after reading its new results.
func (d *Demands) read(e *jobs.Entry) *jobWork {
	w := d.jobs[e]
	if w == nil {
		w = &jobWork{items: make(map[string]float64, len(e.Job.Items))}
		for i := range e.Job.Items {
			tokens := expectedTokens(&e.Job.Items[i])
			w.items[e.Job.Items[i].ID] = tokens
			w.total += tokens
		}
		d.jobs[e] = w
	}
	w.seen = true
	for ; w.results < len(e.Results); w.results++ {
		r := &e.Results[w.results]
		w.done += w.items[r.Item]
		if r.RunMs > 0 {
			w.endedTokens += w.items[r.Item]
			w.endedTime += time.Duration(r.RunMs) * time.Millisecond
		}
	}
	return w
}

// forget removes the jobs that were not read since it was called last.
func (d *Demands) forget() {
	for e, w := range d.jobs {
		if !w.seen {
			delete(d.jobs, e)
		}
		w.seen = false
	}
}

func expectedTokens(item *jobs.Item) float64 {
	switch {
	case item.ExpectedOutput > 0:
		return float64(item.ExpectedOutput)
	case item.MaxOutput > 0:
		return float64(item.MaxOutput)
	}
	return defaultTokens
}

// Services returns the input of the planner for the services of a configuration whose number
// of servers can be changed.
func Services(config *deployment.Config, servers map[string][]deployment.Server, demands map[string]*pool.Demand) []pool.Service {
	var services []pool.Service
	for name, s := range config.Services {
		if s.Scale == nil {
			continue
		}
		current := pool.Service{Name: name, Scale: *s.Scale, Slots: s.Slots, Servers: servers[name]}
		if demand := demands[name]; demand != nil {
			current.Demand = *demand
		}
		current.Demand.Unmeasured = servesRequests(config, name)
		services = append(services, current)
	}
	return services
}

// servesRequests reports whether plain requests or streams are sent to a service.
func servesRequests(config *deployment.Config, service string) bool {
	for i := range config.Routes {
		r := &config.Routes[i]
		if r.Kind == deployment.Jobs {
			continue
		}
		for _, share := range r.Shares {
			if share.Service == service && share.Weight > 0 {
				return true
			}
		}
	}
	return false
}
