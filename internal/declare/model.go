// Package declare reads, checks and represents operators' declaration files:
// models, trainers, plain services and serving needs.
package declare

import "time"

// Class orders work at the owner of a replica. Lower values go first.
type Class int

// Classes of work, most urgent first.
const (
	ClassInteractive Class = iota
	ClassBatch
	ClassTraining
)

// Set is the content of all declaration files of one configuration version.
type Set struct {
	Models   map[string]*Model
	Trainers map[string]*Trainer
	Services map[string]*Service
	Needs    map[string]*Need
}

// Model declares a model and how its engines behave. Section [model NAME].
type Model struct {
	Name string
	// Replicas is the wanted number of replicas by data centre.
	Replicas map[string]int
	// FencingChecked says that the engines refuse orders with an old fencing number.
	FencingChecked bool
	// MaxTokens is the longest answer in tokens.
	MaxTokens int
	// MinServing is the share of replicas that must serve during a weight rollout.
	MinServing float64
	// PinnedVersion is the weight version that all replicas must run; 0 follows the newest.
	PinnedVersion int64
	Adapters      []string
}

// Trainer declares a trainer. Section [trainer NAME].
type Trainer struct {
	Name  string
	Model string
	// Share is the weight of this trainer in the token-fair division of engines.
	Share float64
	// StalenessBound is the largest number of versions that a sample may be
	// behind the trainer's newest version.
	StalenessBound int64
	// GroupSize is the number of samples in a whole group.
	GroupSize int
	// Surplus is the number of extra samples that run per group.
	Surplus int
	// IdleWeight says how much idle time weighs against staleness, in [0, 1].
	IdleWeight float64
	// Scorer names the plain service that scores samples; empty means none.
	Scorer string
	// ScoreRequired holds a group back until it is scored.
	ScoreRequired bool
	// MaxTokens stops a sample at this length in tokens.
	MaxTokens int
}

// Service declares a plain service. Section [service NAME].
type Service struct {
	Name  string
	Class Class
	// RepeatablePaths lists path prefixes whose calls may be repeated whatever
	// their method; GET and HEAD are always repeatable.
	RepeatablePaths []string
	Timeout         time.Duration
}

// Need declares a serving need: work of callers on a model. Section [need NAME].
type Need struct {
	Name  string
	Model string
	Class Class
	// MinReplicas is the number of replicas that must serve this need.
	MinReplicas int
	// TargetTTFT is the wanted time to the first token.
	TargetTTFT time.Duration
}
