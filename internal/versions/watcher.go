// Package versions polls the weight store for new weight versions, so that they
// become known even if a trainer's announcement is lost.
package versions

import (
	"context"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const (
	pollInterval = 2 * time.Second
	readTimeout  = 2 * time.Second
)

// Watcher polls the weight store from one entry host of each data centre. The
// other hosts receive the versions by gossip.
type Watcher struct {
	store    platform.WeightStore
	members  cluster.Members
	configs  cluster.Configs
	versions cluster.Versions
	recorder *telemetry.Recorder
}

// NewWatcher returns a Watcher that announces the versions found in store.
func NewWatcher(store platform.WeightStore, members cluster.Members, configs cluster.Configs,
	versions cluster.Versions, recorder *telemetry.Recorder) *Watcher {
	return &Watcher{store: store, members: members, configs: configs, versions: versions, recorder: recorder}
}

// Run polls the weight store until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if w.isPoller() {
			w.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isPoller reports whether this host has the lowest ID among the live hosts of
// its data centre. Two pollers at a time are harmless, because versions are
// merged by maximum.
func (w *Watcher) isPoller() bool {
	self := w.members.Self()
	for _, m := range w.members.All() {
		if m.DataCentre == self.DataCentre && m.State == cluster.MemberAlive && m.ID < self.ID {
			return false
		}
	}
	return true
}

// poll refreshes all models in the configuration. It stops at the first error.
func (w *Watcher) poll(ctx context.Context) {
	set, _ := w.configs.Current()
	if set == nil {
		return
	}
	models := make([]string, 0, len(set.Models))
	for name := range set.Models {
		models = append(models, name)
	}
	sort.Strings(models)
	for _, model := range models {
		if err := w.Refresh(ctx, model); err != nil {
			w.recorder.Count("weight_store_errors_total")
			klog.V(1).InfoS("failed to read versions from the weight store", "model", model, "err", err)
			return
		}
	}
}

// Refresh reads the versions of one model from the weight store and announces
// them.
func (w *Watcher) Refresh(ctx context.Context, model string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listed, err := w.store.Versions(ctx, model)
	for _, version := range listed {
		w.versions.Announce(model, version)
	}
	return err
}
