package fronthost

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
)

// Preview says where a host would send a request or an item now. Nothing is sent and
// nothing changes.
type Preview struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Server is the backend server, or empty if none can take the work now.
	Server     string `json:"server"`
	DataCentre string `json:"data_centre"`
	Version    int64  `json:"version,omitempty"` // weight version that runs the item
	Why        string `json:"why"`
	// PlaceWhy says why the work leaves the data centre or stays, with spillover on.
	PlaceWhy string `json:"place_why,omitempty"`
	// NeedGrant are the servers with a rate limit that need a grant first.
	NeedGrant []string `json:"need_grant,omitempty"`
}

// Errors of previews.
var (
	errNoConfig    = errors.New("the host has not read its configuration yet")
	errNoPreview   = errors.New("a model, or a host name and a path, are needed")
	errNoRoute     = errors.New("no route matches")
	errIsJob       = errors.New("the route takes jobs; ask for a model")
	errNotOwner    = errors.New("another host owns the partition of the model's jobs and decides where they run")
	errNoFreeSlots = errors.New("no replica can take an item of the model now")
)

// PreviewRequest returns where a request with an ID would be sent now.
func (h *Host) PreviewRequest(hostName, method, path, id string) (Preview, error) {
	now, claimAge := time.Now(), h.claimAge()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Config == nil {
		return Preview{}, errNoConfig
	}
	route := h.state.Config.Match(hostName, path)
	switch {
	case route == nil:
		return Preview{}, errNoRoute
	case route.Kind == deployment.Jobs && method == http.MethodPost:
		return Preview{}, errIsJob
	}
	p := Preview{Route: route.Name, Service: serviceOf(route, id)}
	state := func(s *deployment.Server) ratelimit.State { return h.limits.State(candidateOf(s), now) }
	selection := h.previewSelection(&p, route, id, state, claimAge, now)
	p.describe(selection)
	return p, nil
}

// previewSelection selects a server as forwarding does, with a copy of the state of
// spillover. The caller holds mu.
func (h *Host) previewSelection(p *Preview, route *deployment.Route, id string, state func(*deployment.Server) ratelimit.State, claimAge time.Duration, now time.Time) forward.Selection {
	if h.spill == nil {
		return h.forward.Choose(h.serversByService[p.Service], h.settings.Host.DataCentre, nil, state, now)
	}
	in := spilloverOf(h.spill.Clone(), route, p.Service, id, 0, claimAge)
	choice := h.forward.ChooseWithSpillover(h.serversByService[p.Service], h.settings.Host.DataCentre, nil, state, in, now)
	p.PlaceWhy = string(choice.Verdict.Reason)
	return choice.Selection
}

// describe sets the server and the reason of a selection.
func (p *Preview) describe(s forward.Selection) {
	for _, limited := range s.NeedGrant {
		p.NeedGrant = append(p.NeedGrant, limited.ID)
	}
	if s.Server != nil {
		p.Server, p.DataCentre = s.Server.ID, s.Server.DataCentre
	}
	switch {
	case s.Server == nil && len(s.NeedGrant) > 0:
		p.Why = "all servers that can take it name a rate limit"
	case s.Server == nil && s.Leaving:
		p.Why = "all servers are leaving"
	case s.Server == nil:
		p.Why = "no server can take it"
	case s.LastResort:
		p.Why = "only servers that are leaving can take it"
	case s.Failing:
		p.Why = "the best server failed repeatedly"
	case s.Strained:
		p.Why = "lowest score; the server recently failed or refused, or its slots are taken"
	default:
		p.Why = "lowest score"
	}
}

// PreviewItem returns where an item of a model's next job would run now. Only the owner of
// the partition of the model's jobs knows it.
func (h *Host) PreviewItem(model string) (Preview, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Config == nil {
		return Preview{}, errNoConfig
	}
	route := jobRouteOf(h.state.Config, model)
	if route == nil {
		return Preview{}, errNoRoute
	}
	r := h.runners[h.partitionOf(model)]
	if r == nil {
		return Preview{}, errNotOwner
	}
	now := time.Now()
	job := &jobs.Job{ID: "preview", Host: route.Host, Path: route.Prefix, Model: model, Items: []jobs.Item{{ID: "preview"}}, Terms: jobs.NewTerms(route)}
	start, ok := r.scheduler.Preview(r.tickInput(now), &jobs.Entry{Job: job, ReadAt: now}, &job.Items[0])
	if !ok {
		return Preview{}, errNoFreeSlots
	}
	p := Preview{Route: route.Name, Service: serviceOf(route, job.ID), Server: start.Replica, Version: start.Version, Why: start.Reason, PlaceWhy: string(start.Verdict.Reason)}
	if s := h.state.Servers.Get(start.Replica); s != nil {
		p.DataCentre = s.DataCentre
	}
	return p, nil
}

// jobRouteOf returns the first route for jobs that leads to a service with a model.
func jobRouteOf(c *deployment.Config, model string) *deployment.Route {
	service := c.ServiceOf(model)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == deployment.Jobs && slices.ContainsFunc(r.Shares, func(s deployment.Share) bool { return s.Service == service }) {
			return r
		}
	}
	return nil
}

// preview answers the admin endpoint for previews.
func (h *Host) preview(query url.Values) (Preview, error) {
	if model := query.Get("model"); model != "" {
		return h.PreviewItem(model)
	}
	path := query.Get("path")
	if path == "" {
		return Preview{}, errNoPreview
	}
	return h.PreviewRequest(query.Get("host"), query.Get("method"), path, query.Get("id"))
}
