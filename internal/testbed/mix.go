package testbed

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/load"
)

// MixOptions sizes the load that Mix derives from the declarations.
type MixOptions struct {
	CallerRate    float64       // requests a second of each serving need
	ServiceRate   float64       // calls a second of each non-idempotent service
	GroupsPerStep int           // of each trainer
	TrainTime     time.Duration // of each step
	Ahead         int           // steps that are submitted early
	Duration      time.Duration
}

// Mix derives a load from the declarations: callers for each serving need,
// calls to each service that must not be repeated, and every trainer.
func (t *Testbed) Mix(o MixOptions) load.Config {
	config := load.Config{
		Entries: t.EntryAddrs(), CallerToken: CallerToken, TrainerTokens: make(map[string]string),
		WeightsAddr: t.WeightsAddr, Declared: t.Set, Duration: o.Duration, Seed: t.Options.Seed,
	}
	for _, name := range sortedNames(t.Set.Needs) {
		need := t.Set.Needs[name]
		config.Callers = append(config.Callers, load.CallerMix{
			Name: name, Model: need.Model, Class: need.Class, RatePerSecond: o.CallerRate,
			StreamShare: 0.5, MaxTokens: 64, SharedPrefixes: 8, PrefixBytes: 256,
		})
	}
	for _, name := range sortedNames(t.Set.Services) {
		if service := t.Set.Services[name]; len(service.RepeatablePaths) == 0 && o.ServiceRate > 0 {
			config.Services = append(config.Services, load.ServiceMix{
				Name: name, Path: "/confirm", Class: service.Class, RatePerSecond: o.ServiceRate,
			})
		}
	}
	for i, name := range sortedNames(t.Set.Trainers) {
		config.TrainerTokens[name] = TrainerToken
		plan := t.plan(t.Set.Trainers[name], o)
		plan.Entries = t.entriesIn(t.DataCentres[i%len(t.DataCentres)])
		config.Trainers = append(config.Trainers, plan)
	}
	return config
}

func (t *Testbed) plan(trainer *declare.Trainer, o MixOptions) load.TrainerPlan {
	return load.TrainerPlan{
		Name: trainer.Name, GroupsPerStep: o.GroupsPerStep, TrainTime: o.TrainTime,
		Ahead: o.Ahead, FirstVersion: 1, PromptBytes: 256,
	}
}

// entriesIn returns the HTTP addresses of a data centre's entry hosts. A
// trainer stays in its data centre, because each one has its own home for it.
func (t *Testbed) entriesIn(dc string) []string {
	var addrs []string
	for _, e := range t.Entries {
		if e.Settings.Host.DataCentre == dc {
			addrs = append(addrs, e.Settings.Host.HTTPAddr)
		}
	}
	return addrs
}
