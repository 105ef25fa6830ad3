// Package sample decides for the trainers that a host is home to: which
// samples run, which count, and what a trainer is given when it pulls. It has
// no I/O, no goroutines and no clock.
//
// # Inputs and actions
//
// The shell reports what happened with Declare, Submit, Pull, Newest, Placed,
// Chunk, Ended, Scored and Forget, and calls Run after them and at each tick.
// Run lets the systems pass over the tables of trainers, groups and samples and
// returns the actions Start, Cancel, Score and Wake.
//
// # Delivery once
//
// A home keeps nothing when it dies, two hosts may take themselves for the
// home, and calls and answers may be lost, late, repeated or crossed. Delivery
// once therefore rests on the epoch, which the home makes up, and on the
// sequence number of each group under it.
//
// The trainer follows these rules. It works under one epoch at a time, starts
// each with cursor 0, and counts an answer only when the call was sent under
// the epoch that it still works under. It takes a group only when its number
// is the cursor + 1. Told another epoch, it moves there and submits again what
// it lacks, never what it took. After a restart it begins without an epoch.
//
// The home follows these:
//
//   - A group under a sequence number never changes. It is given again until
//     the trainer's cursor confirms it; then it is freed and its ID remembered,
//     so that a late repetition of its submission is not taken for a new one.
//   - An offered group that became too stale since may be in the trainer's
//     hands or not. It can neither be given again nor be replaced under its
//     number or another one. The home starts a new epoch, under which the
//     trainer says itself whether it lacks the group. Groups before the stale
//     one are still given; a void marker would lose a group that arrives late
//     from an earlier answer.
//   - A call under an epoch that the home does not work under means that the
//     trainer may have taken groups elsewhere. The home starts a new epoch,
//     except for calls under an epoch older than its own while it has offered
//     nothing; those were sent before the trainer heard of the new one. An
//     epoch is thus never taken up again, and no two homes can send a trainer
//     back and forth between two of them.
//   - Groups and samples of the previous epoch are parked and used again when
//     the trainer submits them, so that a new epoch costs a round trip and no
//     samples. Groups that a leaving home hands over are parked in the same way.
//
// # Staleness
//
// The staleness of a sample is the trainer's newest version less the lowest
// version of the sample's chunks. It is checked whenever a group is given, also
// when it is given again. Samples over the bound are dropped as soon as the
// newest version or a chunk shows it, counted, and replaced.
//
// # Memory
//
// A group reserves the longest samples that it may produce before its first
// one starts, so that the bound holds at any time. Groups that hold memory are
// always completed, and kept samples of groups that lost others to staleness
// are dropped when nothing else can make room.
package sample
