package trainers

import (
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/declare"
)

// trainerSpec is the part of a trainer's declaration that the controller uses.
type trainerSpec struct {
	model        string
	scorer       string
	maxStaleness int64
	workspace    string
}

// sync applies the active configuration and the newest weight versions to the
// coordinator. The caller holds mu.
func (c *Controller) sync() {
	set, version := c.configs.Current()
	if version != c.specsVersion {
		c.specsVersion = version
		c.applySet(set)
	}
	for name, d := range c.specs {
		c.coordinator.AdvanceVersion(c.now(), name, c.versions.Newest(d.model))
	}
}

func (c *Controller) applySet(set *declare.Set) {
	c.specs = make(map[string]trainerSpec)
	var all []sample.Params
	if set != nil {
		for name, t := range set.Trainers {
			c.specs[name] = trainerSpec{model: t.Model, scorer: t.Scorer, maxStaleness: t.StalenessBound, workspace: t.Workspace}
			all = append(all, c.sampleParams(name, t, set.Models[t.Model]))
		}
	}
	c.coordinator.Declare(all)
}

func (c *Controller) sampleParams(name string, t *declare.Trainer, model *declare.Model) sample.Params {
	p := sample.Params{
		Name: name, GroupSize: t.GroupSize, MaxTokens: t.MaxTokens, MaxStaleness: t.StalenessBound,
		ScoringEnabled: t.Scorer != "", ScoreRequired: t.ScoreRequired,
		Policy: sample.PolicyFor(t.IdleWeight, t.Surplus, t.StalenessBound),
	}
	if c.config.Policy == PolicyBaseline {
		p.Policy = sample.BaselinePolicy()
	}
	if model != nil && model.MaxTokens > 0 && (p.MaxTokens <= 0 || p.MaxTokens > model.MaxTokens) {
		p.MaxTokens = model.MaxTokens
	}
	return p
}

// coordinatorOf returns the trainer's coordinator according to this host's view
// of the membership, or false if no member of the data centre is eligible.
func (c *Controller) coordinatorOf(name string) (cluster.Member, bool) {
	self := c.members.Self()
	var hosts []cluster.Member
	for _, m := range c.members.All() {
		live := m.State == cluster.MemberAlive || m.State == cluster.MemberSuspect
		if live && m.DataCentre == self.DataCentre && (m.ID != self.ID || !c.drained) {
			hosts = append(hosts, m)
		}
	}
	return selectCoordinator(name, hosts)
}
