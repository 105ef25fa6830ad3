package entry

import (
	"net/http"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Status is the response to GET /status.
type Status struct {
	Host          string            `json:"host"`
	DataCentre    string            `json:"data_centre"`
	Ready         bool              `json:"ready"`
	Draining      bool              `json:"draining"`
	InFlight      int64             `json:"in_flight"`
	ConfigVersion int64             `json:"config_version"`
	Members       []MemberStatus    `json:"members"`
	Replicas      []ReplicaStatus   `json:"replicas"`
	Versions      map[string]int64  `json:"newest_versions"`
	Counters      []telemetry.Total `json:"counters"`
}

// MemberStatus describes an entry host as seen by this host.
type MemberStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// ReplicaStatus describes a replica that this entry host owns.
type ReplicaStatus struct {
	ID       string `json:"id"`
	Model    string `json:"model"`
	Version  int64  `json:"version"`
	Role     string `json:"role"`
	Healthy  bool   `json:"healthy"`
	Leaving  bool   `json:"leaving"`
	Fence    int64  `json:"fence"`
	MayOrder bool   `json:"may_order"`
}

var memberStateNames = map[cluster.MemberState]string{
	cluster.MemberAlive:   "alive",
	cluster.MemberSuspect: "suspect",
	cluster.MemberLeaving: "leaving",
	cluster.MemberDead:    "dead",
}

func (h *Host) status() Status {
	self := h.members.Self()
	set, version := h.configs.Current()
	status := Status{
		Host: self.ID, DataCentre: self.DataCentre, Ready: h.ready(), Draining: h.draining.Load(),
		InFlight: int64(h.active.Count()), ConfigVersion: version,
		Versions: make(map[string]int64), Counters: h.recorder.Totals(),
	}
	for _, m := range h.members.All() {
		status.Members = append(status.Members, MemberStatus{ID: m.ID, DataCentre: m.DataCentre, State: memberStateNames[m.State]})
	}
	for _, r := range h.orders.OwnedReplicas() {
		fence, mayOrder := h.orders.MayOrder(r.ID)
		status.Replicas = append(status.Replicas, ReplicaStatus{
			ID: r.ID, Model: r.State.Model, Version: r.State.Version, Role: r.State.Role,
			Healthy: r.Healthy, Leaving: r.Leaving, Fence: fence, MayOrder: mayOrder,
		})
	}
	if set != nil {
		for name := range set.Models {
			status.Versions[name] = h.members.Newest(name)
		}
	}
	return status
}

func (h *Host) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.status()) }

func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	decisions := h.recorder.Explain(r.PathValue("id"))
	if decisions == nil {
		writeText(w, http.StatusNotFound, "this entry host keeps no decision about that request")
		return
	}
	writeJSON(w, decisions)
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// ready reports whether the balancer should send requests to this host. A host
// that cannot read the configuration log becomes ready with a configuration
// obtained from another entry host.
func (h *Host) ready() bool {
	return !h.draining.Load() && h.configs.Ready() && h.inventory.Ready()
}
