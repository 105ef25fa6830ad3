// Package declare parses and checks the operators' declaration files, which
// declare models, trainers, plain services, serving needs and workspaces.
package declare

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

// Class is the priority class of work at the owner of a replica. Lower values take
// precedence.
type Class int

// Priority classes, in descending order of precedence.
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
	// Workspaces finds the workspace of a key. Requests need keys if it is enabled.
	Workspaces *workspace.Directory
}

// Model declares a model and the behaviour of its engines. Section [model NAME].
type Model struct {
	Name string
	// Replicas is the desired number of replicas by data centre.
	Replicas map[string]int
	// FencingChecked declares that the engines reject orders with outdated fencing
	// numbers.
	FencingChecked bool
	// MaxTokens is the maximum length of an answer in tokens.
	MaxTokens int
	// MinServing is the minimum share of replicas that must be serving during a
	// weight rollout.
	MinServing float64
	// PinnedVersion is the weight version that all replicas must run; 0 means the
	// newest version.
	PinnedVersion int64
	Adapters      []string
	// Public lets requests without a key use the model.
	Public bool
}

// Trainer declares a trainer. Section [trainer NAME].
type Trainer struct {
	Name  string
	Model string
	// Share is the weight of this trainer in the fair sharing of engine capacity,
	// which is measured in tokens.
	Share float64
	// StalenessBound is the maximum number of versions by which a sample may lag
	// behind the trainer's newest version.
	StalenessBound int64
	// GroupSize is the number of samples in a complete group.
	GroupSize int
	// Surplus is the number of samples started per group in excess of GroupSize.
	Surplus int
	// IdleWeight is the weight of the trainer's idle time relative to staleness,
	// in [0, 1]: 1 minimizes idle time, 0 minimizes staleness.
	IdleWeight float64
	// Scorer is the name of the plain service that scores samples; empty means none.
	Scorer string
	// ScoreRequired delays the delivery of a group until it is scored.
	ScoreRequired bool
	// MaxTokens is the length in tokens at which a sample is stopped.
	MaxTokens int
	// Workspace is the workspace whose keys the trainer's calls need; empty means any.
	Workspace string
	// Public lets calls of the trainer go without a key.
	Public bool
}

// Service declares a plain service. Section [service NAME].
type Service struct {
	Name  string
	Class Class
	// RepeatablePaths lists path prefixes whose calls may be retried regardless of
	// their method. GET and HEAD may always be retried.
	RepeatablePaths []string
	Timeout         time.Duration
	// Public lets requests without a key use the service.
	Public bool
}

// Need declares a serving need: the capacity and latency that callers require of a
// model. Section [need NAME].
type Need struct {
	Name  string
	Model string
	Class Class
	// MinReplicas is the minimum number of replicas that must serve this need.
	MinReplicas int
	// TargetTTFT is the target time to first token.
	TargetTTFT time.Duration
}
