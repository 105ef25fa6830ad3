package fronthost

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// applyOperators applies records of operators and trainers.
func (h *Host) applyOperators(b logstore.Batch) {
	for _, r := range b.Records {
		change := h.feeds.Operators.Decode(r)
		h.mu.Lock()
		if change.Invalid == nil {
			h.skipped.clear("operators", r.Key)
		}
		switch {
		case change.Config != nil:
			h.applyConfig(change.Config, r.Offset)
		case change.Version != nil:
			if h.state.SetVersion(*change.Version) {
				klog.InfoS("weight version announced", "model", change.Version.Model, "version", change.Version.Version, "offset", r.Offset)
				h.wakeRunners()
			}
		case change.Invalid != nil && !r.IsTombstone():
			h.recordSkipped("operators", change.Invalid)
		}
		h.mu.Unlock()
	}
}

// applyConfig applies a configuration if its version is higher than that of the current
// one. A record that is read again is no news. The caller holds mu.
func (h *Host) applyConfig(config *deployment.Config, offset int64) {
	current := h.state.Config
	if !h.state.SetConfig(config) {
		if offset != h.configOffset {
			h.configOffset = offset
			h.recorder.Count("configs_ignored_total")
			klog.InfoS("configuration ignored: its version is not higher than the current one", "version", config.Version, "current", current.Version, "offset", offset)
		}
		return
	}
	h.configOffset = offset
	klog.InfoS("configuration applied", "version", config.Version, "offset", offset, "routes", len(config.Routes), "services", len(config.Services), "workspaces", config.Workspaces.Len())
	h.wakeRunners()
	h.followModels(config)
	h.turns.Retain(config.Workspaces)
	h.retainShares(config)
}

// applyServers applies reports of backend servers.
func (h *Host) applyServers(b logstore.Batch) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		change := h.feeds.Servers.Decode(r)
		if change.Invalid != nil {
			h.recordSkipped("servers", change.Invalid)
		} else {
			h.skipped.clear("servers", r.Key)
		}
		if change.Server == nil {
			continue
		}
		if change.Server.Server == nil {
			h.logServer(change.Server.ID, nil, r.Offset)
			if change.Invalid != nil {
				present[change.Server.ID] = true
				h.state.DiscardServer(change.Server.ID)
			} else {
				h.state.RemoveServer(change.Server.ID, b.LastOutageEnd, now)
			}
			continue
		}
		present[change.Server.ID] = true
		h.logServer(change.Server.ID, change.Server.Server, r.Offset)
		h.state.SetServer(*change.Server.Server)
	}
	if b.Complete {
		h.state.RemoveAbsent(present, b.LastOutageEnd, now)
	}
	h.refreshServers()
	h.wakeRunners()
}

// logServer logs the registration, a change of state or the removal of a backend
// server.
func (h *Host) logServer(id string, server *deployment.Server, offset int64) {
	known := h.state.Servers.Get(id)
	switch {
	case server == nil && known != nil:
		klog.InfoS("backend server removed from the registry", "server", id, "service", known.Service, "offset", offset)
	case server != nil && (known == nil || known.Incarnation != server.Incarnation || known.RecordSaysLeaving() != server.Leaving):
		klog.InfoS("backend server registered or changed", "server", id, "service", server.Service, "addr", server.Addr, "leaving", server.Leaving, "started", server.Incarnation, "offset", offset)
	}
}

// refreshServers copies the registry for server selection. The caller holds mu.
func (h *Host) refreshServers() {
	h.registeredServers = h.registeredServers[:0:0]
	h.serversByService = make(map[string][]deployment.Server)
	h.state.Servers.Each(func(_ string, s *deployment.Server) bool {
		h.registeredServers = append(h.registeredServers, *s)
		h.serversByService[s.Service] = append(h.serversByService[s.Service], *s)
		return true
	})
}

// applyWork applies records of a partition of topicWork, the topic that the entry
// hosts write themselves.
func (h *Host) applyWork(partition int, b logstore.Batch) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if partition == controlPartition && b.Complete {
		h.duties.records.RemoveAbsent(b.Records)
	}
	for _, r := range b.Records {
		if err := h.applyWorkRecord(partition, r, b.Complete, now); err != nil {
			h.recordSkipped(topicWork, &deployment.InvalidChange{Key: r.Key, Reason: err.Error()})
		}
	}
	if r := h.runners[partition]; r != nil {
		r.wake()
	}
}

func (h *Host) applyWorkRecord(partition int, r logstore.Record, fromListing bool, now time.Time) error {
	switch {
	case jobs.IsJobKey(r.Key):
		held := h.jobs.Held()
		err := h.jobs.Apply(partition, r, now)
		h.account.Add(account.Jobs, h.jobs.Held()-held)
		return err
	case isPlacementKey(r.Key):
		err := h.applyPlacement(r, fromListing, now)
		h.wakeRunners()
		return err
	case isSuspicionKey(r.Key):
		return h.applySuspicion(r, now)
	case isLimitKey(r.Key):
		return h.applyLimit(r, now)
	case isClaimKey(r.Key):
		return h.applyClaim(r, now)
	case r.Key == limitAllocatorKey:
		return h.applyLimitAllocator(r)
	case duties.IsKey(r.Key):
		return h.applyDuty(r)
	}
	return errUnknownKey
}

// recordSkipped counts a record that cannot be used, and logs it unless the record of
// the same key before it was skipped for the same reason. The caller holds mu.
func (h *Host) recordSkipped(source string, invalid *deployment.InvalidChange) {
	h.recorder.Count("records_skipped_total", "source", source)
	if h.skipped.record(source, invalid) {
		klog.InfoS("record skipped", "source", source, "key", invalid.Key, "reason", invalid.Reason)
	}
}

// maxSkippedKeys bounds the number of keys whose reason is retained. Beyond it, skipped
// records may be logged again.
const maxSkippedKeys = 1000

// skippedRecords holds why the last record of a key was skipped, by source and key.
type skippedRecords map[[2]string]string

// record reports whether the reason is new for the key.
func (s skippedRecords) record(source string, invalid *deployment.InvalidChange) bool {
	id := [2]string{source, invalid.Key}
	if s[id] == invalid.Reason {
		return false
	}
	if len(s) >= maxSkippedKeys {
		clear(s)
	}
	s[id] = invalid.Reason
	return true
}

// clear records that a key has a record that is used, or none.
func (s skippedRecords) clear(source, key string) { delete(s, [2]string{source, key}) }
