package load

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// Parameters of the requests that Mix generates.
const (
	mixStreamShare    = 0.5
	mixMaxTokens      = 64
	mixSharedPrefixes = 8
	mixPrefixBytes    = 256
	mixServicePath    = "/confirm"
)

// MixOptions sizes the load that Mix derives from declarations.
type MixOptions struct {
	CallerRate    float64       // requests/s of each serving need
	ServiceRate   float64       // calls/s of each non-idempotent service
	GroupsPerStep int           // of each trainer
	TrainTime     time.Duration // of each step
	StepsAhead    int           // steps submitted early
	Duration      time.Duration
	TrainerToken  string // used by every trainer
}

// Mix returns a load derived from declarations: callers of each serving need,
// callers of each service without repeatable paths, and every trainer.
func Mix(set *declare.Set, o MixOptions) Config {
	config := Config{Declared: set, Duration: o.Duration, TrainerTokens: make(map[string]string)}
	for _, name := range slices.Sorted(maps.Keys(set.Needs)) {
		need := set.Needs[name]
		config.Callers = append(config.Callers, CallerMix{
			Name: name, Model: need.Model, Class: need.Class, RatePerSecond: o.CallerRate,
			StreamShare: mixStreamShare, MaxTokens: mixMaxTokens,
			SharedPrefixes: mixSharedPrefixes, PrefixBytes: mixPrefixBytes,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(set.Services)) {
		service := set.Services[name]
		if len(service.RepeatablePaths) == 0 && o.ServiceRate > 0 {
			config.Services = append(config.Services, ServiceMix{
				Name: name, Path: mixServicePath, Class: service.Class, RatePerSecond: o.ServiceRate,
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(set.Trainers)) {
		config.TrainerTokens[name] = o.TrainerToken
		config.Trainers = append(config.Trainers, TrainerPlan{
			Name: name, GroupsPerStep: o.GroupsPerStep, TrainTime: o.TrainTime,
			StepsAhead: o.StepsAhead, FirstVersion: 1, PromptBytes: mixPrefixBytes,
		})
	}
	return config
}
