// Package trainers serves trainers' calls on an entry host. It receives the calls
// over HTTP and forwards each to the coordinator of the trainer. On the host that
// is the coordinator, it executes the decisions of core/sample with the generator
// and the scoring services.
//
// For each training step a trainer submits groups. A group is a prompt for which
// a fixed number of samples is generated. The trainer receives complete groups
// with pulls.
//
// The coordinator of a trainer is the live member of the data centre with the
// highest rendezvous hash of the trainer's name. While their views of the
// membership differ, two hosts may both act as the coordinator. Each then has its
// own epoch, and core/sample ensures that each group is delivered once.
//
// Calls are POST /v1/trainers/{name}/{groups,pull,weights} with JSON bodies, see
// GroupsRequest, PullRequest and WeightsRequest. A response with status 409 and
// an EpochReply instructs the trainer to continue under that epoch from cursor 0
// and to resubmit the groups that it has not received. The trainer must ignore a
// response if its epoch has changed since it sent the call. If a trainer has two
// concurrent pulls, the older one gets a response without groups.
package trainers
