package fronthost

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Status is the state of an entry host on a log store, as operators see it.
type Status struct {
	Host          string            `json:"host"`
	DataCentre    string            `json:"data_centre"`
	Member        string            `json:"member"` // name in the group that assigns partitions
	Ready         bool              `json:"ready"`
	Draining      bool              `json:"draining"`
	InFlight      int64             `json:"in_flight"`
	ConfigVersion int64             `json:"config_version"`
	Access        *AccessStatus     `json:"access,omitempty"` // nil if no workspaces are declared
	Partitions    []PartitionStatus `json:"partitions"`
	Jobs          []JobStatus       `json:"jobs"`
	Servers       []ServerStatus    `json:"servers"`
	Counters      []telemetry.Total `json:"counters"`
}

// AccessStatus is what decides on requests with keys.
type AccessStatus struct {
	Workspaces int `json:"workspaces"` // in use
	// ReadAgeMs is the age of the newest complete read of the configuration.
	ReadAgeMs int64 `json:"read_age_ms"`
	Permitted bool  `json:"permitted"` // requests with keys may run
}

// PartitionStatus is one partition that the host follows.
type PartitionStatus struct {
	Number int `json:"number"` // 0 is the control partition
	// AgeMs is the staleness of the host's copy of the partition, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// StoreUnavailable means that the store does not answer reads of the partition.
	StoreUnavailable bool `json:"lost"`
	// Epoch is the epoch at which this host owns the partition, or 0.
	Epoch int64 `json:"epoch"`
}

// JobStatus is one job in the host's tables.
type JobStatus struct {
	ID         string `json:"id"`
	Workspace  string `json:"workspace,omitempty"`
	Model      string `json:"model"`
	Step       int64  `json:"step"`
	MinVersion int64  `json:"min_version"`
	Partition  int    `json:"partition"`
	Items      int    `json:"items"`
	Committed  int    `json:"listed"` // results committed to a position
	Ended      bool   `json:"ended"`
	AgeMs      int64  `json:"age_ms"` // since this host read the job
}

// Label returns the job's ID, after the name of its workspace if it has one.
func (j *JobStatus) Label() string {
	if j.Workspace == "" {
		return j.ID
	}
	return j.Workspace + ": " + j.ID
}

// ServerStatus is one registered backend server.
type ServerStatus struct {
	ID         string           `json:"id"`
	Service    string           `json:"service"`
	DataCentre string           `json:"data_centre"`
	Leaving    bool             `json:"leaving"`
	Serves     []string         `json:"serves"`   // models assigned to it
	Versions   map[string]int64 `json:"versions"` // weight version by model
	Loading    string           `json:"loading"`  // model of the order in progress
	OrderOwner string           `json:"holder"`   // member that sent the last order
}

// Status returns the current state of the host.
func (h *Host) Status() Status {
	s := Status{
		Host: h.settings.Host.ID, DataCentre: h.settings.Host.DataCentre, Member: h.member,
		Ready: h.Ready(), Draining: h.draining.Load(), InFlight: int64(h.active.Count()), Counters: h.recorder.Totals(),
	}
	s.Partitions = h.partitionStatus()
	s.Access = h.accessStatus()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Config != nil {
		s.ConfigVersion = h.state.Config.Version
	}
	h.jobs.Each(func(e *jobs.Entry) bool {
		s.Jobs = append(s.Jobs, JobStatus{
			ID: jobs.CallerID(e.Job.ID), Workspace: e.Job.Workspace, Model: e.Job.Model, Step: e.Job.Step, MinVersion: e.Job.MinVersion, Partition: e.Partition,
			Items: len(e.Job.Items), Committed: len(e.Results), Ended: e.Ended, AgeMs: now.Sub(e.ReadAt).Milliseconds(),
		})
		return true
	})
	slices.SortFunc(s.Jobs, func(a, b JobStatus) int { return strings.Compare(a.ID, b.ID) })
	for i := range h.registeredServers {
		server := &h.registeredServers[i]
		p := h.placement(server.ID)
		s.Servers = append(s.Servers, ServerStatus{
			ID: server.ID, Service: server.Service, DataCentre: server.DataCentre, Leaving: server.Leaving,
			Serves: slices.Clone(p.Serves), Versions: h.versionsOf(server), Loading: p.Loading, OrderOwner: p.OrderOwner,
		})
	}
	slices.SortFunc(s.Servers, func(a, b ServerStatus) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// accessStatus asks the follower of the configuration, and so must not be called while mu
// is held.
func (h *Host) accessStatus() *AccessStatus {
	config := h.Config()
	if config == nil || !config.Workspaces.Enabled() {
		return nil
	}
	asOf, now := h.permission.asOf(), h.permission.now()
	return &AccessStatus{
		Workspaces: config.Workspaces.Len(), ReadAgeMs: now.Sub(asOf).Milliseconds(), Permitted: h.permission.terms.Allows(asOf, now),
	}
}

// partitionStatus returns the state of the followed partitions. A follower locks itself
// before mu when it applies records, so it must not be asked while mu is held.
func (h *Host) partitionStatus() []PartitionStatus {
	var partitions []PartitionStatus
	h.mu.Lock()
	followers := maps.Clone(h.followers)
	for n := range followers {
		p := PartitionStatus{Number: n}
		if r := h.runners[n]; r != nil {
			p.Epoch = r.epoch
		}
		partitions = append(partitions, p)
	}
	h.mu.Unlock()
	for i := range partitions {
		f := followers[partitions[i].Number]
		partitions[i].AgeMs, partitions[i].StoreUnavailable = f.Staleness().Milliseconds(), f.StoreUnavailable()
	}
	slices.SortFunc(partitions, func(a, b PartitionStatus) int { return a.Number - b.Number })
	return partitions
}

// adminHandler serves the metrics, the status, the decisions that were recorded for a
// request or job ID, and previews of decisions.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.recorder.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status()) })
	mux.HandleFunc("GET /explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, h.recorder.Explain(r.PathValue("id")))
	})
	mux.HandleFunc("GET /next", func(w http.ResponseWriter, r *http.Request) {
		preview, err := h.preview(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		writeJSON(w, preview)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(1).InfoS("admin response not delivered", "err", err)
	}
}
