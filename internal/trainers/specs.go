package trainers

import (
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/declare"
)

// declared is what the role keeps of a trainer's declaration.
type declared struct {
	model  string
	scorer string
	bound  int64
}

// sync takes over the configuration in force and the newest versions.
func (c *Controller) sync() {
	set, version := c.configs.Current()
	if version != c.version {
		c.version = version
		c.declare(set)
	}
	for name, d := range c.declared {
		c.home.AdvanceVersion(c.now(), name, c.versions.Newest(d.model))
	}
}

func (c *Controller) declare(set *declare.Set) {
	c.declared = make(map[string]declared)
	var all []sample.Params
	if set != nil {
		for name, t := range set.Trainers {
			c.declared[name] = declared{model: t.Model, scorer: t.Scorer, bound: t.StalenessBound}
			all = append(all, c.params(name, t, set.Models[t.Model]))
		}
	}
	c.home.Declare(all)
}

func (c *Controller) params(name string, t *declare.Trainer, model *declare.Model) sample.Params {
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

// homeOf returns the trainer's home as this host sees it, or false when no
// member of the data centre can be it.
func (c *Controller) homeOf(name string) (cluster.Member, bool) {
	self := c.members.Self()
	var hosts []cluster.Member
	for _, m := range c.members.All() {
		live := m.State == cluster.MemberAlive || m.State == cluster.MemberSuspect
		if live && m.DataCentre == self.DataCentre && (m.ID != self.ID || !c.drained) {
			hosts = append(hosts, m)
		}
	}
	return homeAmong(name, hosts)
}
