package trainers

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/intake"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// Operations on a trainer, the last segment of the path.
const (
	operationGroups  = "groups"
	operationPull    = "pull"
	operationWeights = "weights"
	// operationHandover hands over complete samples to the next coordinator. Only
	// entry hosts call it, over gRPC.
	operationHandover = "keep"
)

const (
	// PathPrefix precedes the name of the trainer in request paths.
	PathPrefix = "/v1/trainers/"
	// forwardTimeout plus the wait of a pull bounds a call to the coordinator.
	forwardTimeout = 10 * time.Second
	// maxForwardBytes bounds a reply of the coordinator. A few groups of long
	// samples exceed the 4 MiB that gRPC accepts by default.
	maxForwardBytes = 256 << 20
)

// ServeHTTP serves a trainer's call on this host or forwards it to the trainer's
// coordinator.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(httpapi.HeaderRequestID)
	rest, ok := strings.CutPrefix(r.URL.Path, PathPrefix)
	name, operation, hasOperation := strings.Cut(rest, "/")
	if !ok || !hasOperation || name == "" || !isTrainerOperation(operation) {
		httpapi.WriteRefusal(w, requestID, notRun(cluster.ReasonUnknownName, "no such trainer call: "+r.URL.Path))
		return
	}
	if r.Method != http.MethodPost {
		httpapi.WriteRefusal(w, requestID, notRun(cluster.ReasonBadRequest, "trainer calls use POST"))
		return
	}
	caller, refusal := c.gate.Admit(r, func(set *declare.Set) bool { return set.PublicTrainer(name) })
	if refusal != nil {
		httpapi.WriteRefusal(w, requestID, refusal)
		return
	}
	name = c.visibleName(caller, name)
	body, err := intake.ReadBody(w, r, c.config.MaxBodyBytes)
	if err != nil {
		httpapi.WriteRefusal(w, requestID, intake.BodyRefusal(err))
		return
	}
	limit := time.Now().Add(forwardTimeout + c.pullWait(operation, body))
	if refusal := c.refuser.Refuse(requestID, limit); refusal != nil {
		httpapi.WriteRefusal(w, requestID, refusal)
		return
	}
	status, response, refusal := c.dispatch(r.Context(), name, operation, body)
	if refusal != nil {
		httpapi.WriteRefusal(w, requestID, refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(response); err != nil {
		klog.V(1).InfoS("failed to write the response to a trainer", "trainer", name, "err", err)
	}
}

// visibleName returns the name under which a call is served. If the trainer belongs to
// another workspace than the caller, it is one that no declaration can have, so that the
// response is that for an unknown trainer.
func (c *Controller) visibleName(caller cluster.Caller, name string) string {
	set, _ := c.configs.Current()
	if caller.Workspace == "" || set == nil || set.Trainers[name] == nil {
		return name
	}
	if owner := set.Trainers[name].Workspace; owner == "" || owner == caller.Workspace {
		return name
	}
	return caller.QualifyID(name)
}

func isTrainerOperation(operation string) bool {
	return operation == operationGroups || operation == operationPull || operation == operationWeights
}

func notRun(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
}

// dispatch runs an operation on the trainer's coordinator.
func (c *Controller) dispatch(ctx context.Context, name, operation string, body []byte) (int, []byte, *cluster.Refusal) {
	c.mu.Lock()
	coordinator, ok := c.coordinatorOf(name)
	if coordinator.ID != c.members.Self().ID {
		delete(c.versionFetched, name) // versions may be missed until this host is the coordinator again
	}
	c.mu.Unlock()
	if !ok {
		return 0, nil, notRun(cluster.ReasonDraining, "no live host of the data centre can be the trainer's home")
	}
	if coordinator.ID == c.members.Self().ID {
		return c.serveLocal(ctx, name, operation, body)
	}
	if operation == operationWeights {
		c.announceLocally(name, body)
	}
	return c.forward(ctx, coordinator, name, operation, body)
}

func (c *Controller) forward(ctx context.Context, coordinator cluster.Member, name, operation string, body []byte) (int, []byte, *cluster.Refusal) {
	client, err := c.clients.Client(coordinator.PeerAddr)
	if err != nil {
		return 0, nil, notRun(cluster.ReasonBackendFailed, "connect to the trainer's home: "+err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout+c.pullWait(operation, body))
	defer cancel()
	reply, err := client.Trainer(ctx, &peerpb.TrainerRequest{Trainer: name, Operation: operation, Body: body},
		grpc.MaxCallRecvMsgSize(maxForwardBytes))
	if err != nil {
		// Every operation is idempotent, so the trainer can repeat the call.
		return 0, nil, &cluster.Refusal{
			Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed,
			Message: "the trainer's home " + coordinator.ID + " did not answer: " + err.Error(),
		}
	}
	if reply.GetStatus() < http.StatusBadRequest || reply.GetStatus() == http.StatusConflict {
		return int(reply.GetStatus()), reply.GetBody(), nil
	}
	var refused httpapi.RefusalBody
	if err := json.Unmarshal(reply.GetBody(), &refused); err != nil {
		return 0, nil, &cluster.Refusal{
			Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed,
			Message: "the trainer's home answered an unreadable refusal",
		}
	}
	return 0, nil, &cluster.Refusal{
		Outcome: refused.Error.Outcome, Reason: refused.Error.Reason, Message: refused.Error.Message,
	}
}

// pullWait returns the maximum time for which the coordinator lets a call wait.
func (c *Controller) pullWait(operation string, body []byte) time.Duration {
	var request PullRequest
	if operation != operationPull || json.Unmarshal(body, &request) != nil {
		return 0
	}
	return c.clampPullWait(request.WaitMs)
}

func (c *Controller) clampPullWait(ms int64) time.Duration {
	wait := min(max(ms, 0), c.config.MaxPullWait.Milliseconds())
	return time.Duration(wait) * time.Millisecond
}
