package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// changeRoutes writes a configuration with the routes of the newest one, changed.
func (c *testCluster) changeRoutes(h *hostHandle, change func([]deployment.Route) []deployment.Route) {
	config := *h.Config()
	config.Version++
	config.Routes = change(append([]deployment.Route(nil), config.Routes...))
	c.put(operatorPartition, "config", config)
	c.waitUntil("the configuration is applied", func() bool { return h.Config().Version == config.Version })
}

// Guards against open items of an accepted job that fail, or run at another service,
// because a later configuration has another route for the job's path.
func TestAcceptedJobKeepsItsRoute(t *testing.T) {
	below := func(kind deployment.Kind) func([]deployment.Route) []deployment.Route {
		return func(routes []deployment.Route) []deployment.Route {
			return append(routes, deployment.Route{Name: "below", Host: testHost, Prefix: "/jobs/deep/", Kind: kind, Shares: []deployment.Share{{Service: testApp, Weight: 1}}, MaxAttempts: 1})
		}
	}
	for name, change := range map[string]func([]deployment.Route) []deployment.Route{
		"idempotent route below":     below(deployment.Idempotent),
		"non-idempotent route below": below(deployment.NonIdempotent),
		"stream route below":         below(deployment.Stream),
		"route for jobs below":       below(deployment.Jobs),
		"shorter retention": func(routes []deployment.Route) []deployment.Route {
			for i := range routes {
				if routes[i].Kind == deployment.Jobs {
					routes[i].Retention = time.Millisecond
				}
			}
			return routes
		},
		"replaced by a route with a shorter prefix": func(routes []deployment.Route) []deployment.Route {
			for i := range routes {
				if routes[i].Kind == deployment.Jobs {
					routes[i].Prefix = "/"
				}
			}
			return routes
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.events = 900 // 2 s or more, longer than a retention of 0 lets items run
			h := c.startHost("a")
			c.register("app-1", testApp)
			job, payloads := newJob("deep/job-1", 4, 1)
			must.Nil(t, h.Submit(context.Background(), job, payloads))
			c.changeRoutes(h, change)
			results, outputs := c.collect(h, "deep/job-1", 4)
			for i, r := range results {
				must.False(t, r.Failed, must.Sprint(r.Item))
				must.EqOp(t, c.fullOutput(r.Item), outputs[i])
			}
		})
	}
}

// Guards against an item that fails, or has several weight versions, as only a later
// configuration allows.
func TestAcceptedJobKeepsAttemptsAndSingleVersion(t *testing.T) {
	c := newTestCluster(t, 2)
	h := c.startHost("a")
	c.changeRoutes(h, func(routes []deployment.Route) []deployment.Route {
		routes[0].SingleVersion = true
		return routes
	})
	c.mu.Lock()
	for _, r := range c.replicas {
		r.failRuns["job-1-0"], r.unavailable = 1, true // no run before the change
	}
	c.mu.Unlock()
	job, payloads := newJob("job-1", 1, 1)
	must.Nil(t, h.Submit(context.Background(), job, payloads))
	c.changeRoutes(h, func(routes []deployment.Route) []deployment.Route {
		routes[0].SingleVersion, routes[0].MaxAttempts = false, 1
		return routes
	})
	h.mu.Lock()
	route := h.routeOf(h.jobs.Get("job-1"))
	h.mu.Unlock()
	must.True(t, route.SingleVersion)
	must.EqOp(t, 3, route.MaxAttempts)
	c.mu.Lock()
	for _, r := range c.replicas {
		r.unavailable = false
	}
	c.mu.Unlock()
	results, _ := c.collect(h, "job-1", 1)
	must.False(t, results[0].Failed)
}

// Guards against items that run on after the route of their job was removed.
func TestJobEndsWithItsRoute(t *testing.T) {
	c := newTestCluster(t, 1)
	c.events = 100_000
	h := c.startHost("a")
	job, payloads := newJob("job-1", 2, 1)
	must.Nil(t, h.Submit(context.Background(), job, payloads))
	c.changeRoutes(h, func(routes []deployment.Route) []deployment.Route { return routes[1:] })
	results, _ := c.collect(h, "job-1", 2)
	for _, r := range results {
		must.True(t, r.Failed)
	}
}

// Guards against hosts that read the terms of a job otherwise than they were accepted,
// and against jobs of former versions without terms.
func TestTermsSurviveTheStore(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 1, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	b := c.startHost("b")
	must.Eq(t, jobs.Terms{PrefixBytes: len("/jobs/"), Retention: time.Minute, MaxAttempts: 3}, b.jobEntry("job-1").Job.Terms)
}
