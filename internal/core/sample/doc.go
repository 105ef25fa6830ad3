// Package sample coordinates sample generation for trainers. It decides which
// samples run, which of them count, and which groups a trainer receives when it
// pulls. It has no I/O, no goroutines and no clock.
//
// # Inputs and actions
//
// A driver reports events with Declare, Submit, Pull, AdvanceVersion,
// SetReplica, AppendChunk, RecordRefusal, RecordEnd, RecordScores and
// ReleaseTrainer, and calls Run after them and periodically. Run processes all
// trainers, groups and samples and returns the actions StartSample,
// CancelSample, ScoreGroup and RetryPull.
//
// # Exactly-once delivery
//
// A coordinator loses its state when its process dies, two hosts may both
// believe that they coordinate a trainer, and requests and responses may be
// lost, delayed, duplicated or reordered. Exactly-once delivery therefore
// relies on an epoch, which the coordinator generates, and on a sequence number
// for each group under that epoch.
//
// A trainer follows these rules. It works under one epoch at a time and starts
// each epoch with cursor 0. It accepts a response only if the request was sent
// under the trainer's current epoch, and a group only if its sequence number is
// cursor + 1. If a response names another epoch, it switches to that epoch and
// resubmits the groups that it lacks, never those that it accepted. After a
// restart it begins without an epoch.
//
// A coordinator follows these rules:
//
//   - The group under a sequence number never changes. It is delivered again
//     until the trainer's cursor acknowledges it; then its memory is freed and
//     its ID is retained, so that a delayed duplicate of its submission is not
//     mistaken for a new one.
//   - An offered group that has become too stale may or may not have reached
//     the trainer. It can neither be delivered again nor be replaced under the
//     same or another sequence number. The coordinator starts a new epoch, under
//     which the trainer submits the group again if it lacks it. Groups before
//     the stale one are still delivered. A marker for a void sequence number
//     would not be safe: it would lose a group that arrives late in an earlier
//     response.
//   - A call under an epoch other than the coordinator's current one means that
//     the trainer may have accepted groups from another coordinator. The
//     coordinator starts a new epoch, except for calls under an epoch that is
//     older than its current one while it has offered nothing; these were sent
//     before the trainer learned of the current epoch. An epoch is thus never
//     resumed, and two coordinators cannot send a trainer back and forth between
//     two epochs.
//   - Groups and samples of the previous epoch are parked and reused when the
//     trainer resubmits them, so that a new epoch costs one round trip and no
//     samples. Groups handed over by a coordinator that is shutting down are
//     parked in the same way.
//
// # Staleness
//
// The staleness of a sample is the trainer's newest version minus the lowest
// version of the sample's chunks. It is checked on every delivery of a group,
// including repeated ones. Samples that exceed the bound are dropped, counted
// and replaced as soon as a new version or a chunk reveals it.
//
// # Memory
//
// Memory for the longest samples that a group may produce is reserved before
// its first sample starts, so that the memory limit holds at any time. Groups
// with reserved memory are always completed. Retained samples of groups that
// lost other samples to staleness are evicted when nothing else can make room.
package sample
