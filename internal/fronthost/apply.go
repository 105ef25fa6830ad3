package fronthost

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// applyOperators takes records of operators and trainers.
func (h *Host) applyOperators(b logstore.Batch) {
	for _, r := range b.Records {
		change := h.feeds.Operators.Decode(r)
		var follow *deployment.Config
		h.mu.Lock()
		switch {
		case change.Config != nil:
			if h.state.SetConfig(change.Config) {
				klog.InfoS("configuration in force", "version", change.Config.Version, "offset", r.Offset, "routes", len(change.Config.Routes), "services", len(change.Config.Services))
				h.wakeRunners()
				follow = change.Config
			}
		case change.Version != nil:
			if h.state.SetVersion(*change.Version) {
				klog.InfoS("weight version named", "model", change.Version.Model, "version", change.Version.Version, "offset", r.Offset)
				h.wakeRunners()
			}
		case change.Invalid != nil && !r.IsTombstone():
			h.skipped("operators", change.Invalid)
		}
		h.mu.Unlock()
		if follow != nil {
			h.followModels(follow)
		}
	}
}

// applyServers takes reports of backend servers.
func (h *Host) applyServers(b logstore.Batch) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		change := h.feeds.Servers.Decode(r)
		if change.Invalid != nil {
			h.skipped("servers", change.Invalid)
		}
		if change.Server == nil {
			continue
		}
		if change.Server.Server == nil {
			h.logServer(change.Server.ID, nil, r.Offset)
			h.state.RemoveServer(change.Server.ID, b.LastOutageEnd, now)
			continue
		}
		listed[change.Server.ID] = true
		h.logServer(change.Server.ID, change.Server.Server, r.Offset)
		h.state.SetServer(*change.Server.Server)
		h.learnVersions(change.Server.Server)
	}
	if b.Complete {
		h.state.RemoveAbsent(listed, b.LastOutageEnd, now)
	}
	h.refreshServers()
	h.wakeRunners()
}

// logServer writes a line when what is known of a server changes.
func (h *Host) logServer(id string, server *deployment.Server, offset int64) {
	known := h.state.Servers.Get(id)
	switch {
	case server == nil && known != nil:
		klog.InfoS("backend server removed from the registry", "server", id, "service", known.Service, "offset", offset)
	case server != nil && (known == nil || known.Incarnation != server.Incarnation || known.Leaving != server.Leaving):
		klog.InfoS("backend server", "server", id, "service", server.Service, "addr", server.Addr, "leaving", server.Leaving, "started", server.Incarnation, "offset", offset)
	}
}

// refreshServers copies the registry for choices. The caller holds mu.
func (h *Host) refreshServers() {
	h.known = h.known[:0:0]
	h.byService = make(map[string][]deployment.Server)
	h.state.Servers.Each(func(_ string, s *deployment.Server) bool {
		h.known = append(h.known, *s)
		h.byService[s.Service] = append(h.byService[s.Service], *s)
		return true
	})
}

// applyWork takes records of a partition of the product's own topic.
func (h *Host) applyWork(partition int, b logstore.Batch) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range b.Records {
		if err := h.applyWorkRecord(partition, r, b.Complete, now); err != nil {
			h.skipped(topicWork, &deployment.InvalidChange{Key: r.Key, Reason: err.Error()})
		}
	}
	if r := h.runners[partition]; r != nil {
		r.wake()
	}
}

func (h *Host) applyWorkRecord(partition int, r logstore.Record, listed bool, now time.Time) error {
	switch {
	case jobs.IsJobKey(r.Key):
		return h.jobs.Apply(partition, r, now)
	case ownsPlacement(r.Key):
		err := h.applyPlacement(r, listed, now)
		h.wakeRunners()
		return err
	case ownsSuspect(r.Key):
		return h.applySuspect(r, now)
	}
	return errUnknownKey
}

func (h *Host) skipped(source string, u *deployment.InvalidChange) {
	h.recorder.Count("records_skipped_total", "source", source)
	klog.InfoS("record is skipped", "source", source, "key", u.Key, "reason", u.Reason)
}
