// Package trainers is the role of an entry host towards trainers: it takes
// their calls over HTTP, forwards each to the trainer's home, and, where this
// host is the home, runs the decisions of core/sample against the generator
// and the scoring services.
//
// The home of a trainer is the live member of the data centre with the highest
// rendezvous hash of the trainer's name. Two hosts may both take themselves
// for the home for a while; each then has its own epoch, and core/sample keeps
// delivery once.
//
// Calls are POST /v1/trainers/{name}/{groups,pull,weights} with JSON bodies,
// see GroupsRequest, PullRequest and WeightsRequest. An answer with status 409
// and an EpochReply tells the trainer to work under that epoch from cursor 0
// and to submit again the groups that it did not get. An answer counts only
// when the trainer still works under the epoch with which it sent the call.
// Of two pulls of one trainer at a time, the older is answered empty.
package trainers
