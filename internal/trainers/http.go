package trainers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// Operations of trainers: the last part of the path.
const (
	operationGroups  = "groups"
	operationPull    = "pull"
	operationWeights = "weights"
	// operationKeep hands complete samples to the next home. Only entry hosts
	// call it.
	operationKeep = "keep"
)

const (
	pathPrefix = "/v1/trainers/"
	// forwardTimeout bounds a call to the home beyond the wait of a pull.
	forwardTimeout = 10 * time.Second
	// maxForwardBytes bounds an answer of the home; the default of gRPC, 4 MiB,
	// is less than a few groups of long samples.
	maxForwardBytes = 256 << 20
)

// ServeHTTP answers a trainer's call here or at the trainer's home.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(httpapi.HeaderRequestID)
	rest, ok := strings.CutPrefix(r.URL.Path, pathPrefix)
	name, operation, both := strings.Cut(rest, "/")
	if !ok || !both || name == "" || !known(operation) {
		httpapi.WriteRefusal(w, requestID, notRun(cluster.ReasonUnknownName, "no such trainer call: "+r.URL.Path))
		return
	}
	if r.Method != http.MethodPost {
		httpapi.WriteRefusal(w, requestID, notRun(cluster.ReasonBadRequest, "trainer calls use POST"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.config.BodyBytes))
	if err != nil {
		reason := cluster.ReasonBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			reason = cluster.ReasonTooLarge
		}
		httpapi.WriteRefusal(w, requestID, notRun(reason, "read the body: "+err.Error()))
		return
	}
	status, answer, refusal := c.call(r.Context(), name, operation, body)
	if refusal != nil {
		httpapi.WriteRefusal(w, requestID, refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(answer); err != nil {
		klog.V(1).InfoS("trainer's answer was not written", "trainer", name, "err", err)
	}
}

func known(operation string) bool {
	return operation == operationGroups || operation == operationPull || operation == operationWeights
}

func notRun(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
}

// call runs an operation at the trainer's home.
func (c *Controller) call(ctx context.Context, name, operation string, body []byte) (int, []byte, *cluster.Refusal) {
	c.mu.Lock()
	home, ok := c.homeOf(name)
	if home.ID != c.members.Self().ID {
		delete(c.learned, name) // versions may be missed until this host is home again
	}
	c.mu.Unlock()
	if !ok {
		return 0, nil, notRun(cluster.ReasonDraining, "no live host of the data centre can be the trainer's home")
	}
	if home.ID == c.members.Self().ID {
		return c.local(ctx, name, operation, body)
	}
	if operation == operationWeights {
		c.announceHere(name, body)
	}
	return c.forward(ctx, home, name, operation, body)
}

func (c *Controller) forward(ctx context.Context, home cluster.Member, name, operation string, body []byte) (int, []byte, *cluster.Refusal) {
	client, err := c.clients.Client(home.PeerAddr)
	if err != nil {
		return 0, nil, notRun(cluster.ReasonBackendFailed, "connect to the trainer's home: "+err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout+c.waitOf(operation, body))
	defer cancel()
	reply, err := client.Trainer(ctx, &peerpb.TrainerRequest{Trainer: name, Operation: operation, Body: body},
		grpc.MaxCallRecvMsgSize(maxForwardBytes))
	if err != nil {
		// Every operation may be repeated, so the trainer simply calls again.
		return 0, nil, &cluster.Refusal{
			Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed,
			Message: "the trainer's home " + home.ID + " did not answer: " + err.Error(),
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

// waitOf returns how long the home may let a call wait.
func (c *Controller) waitOf(operation string, body []byte) time.Duration {
	var request PullRequest
	if operation != operationPull || json.Unmarshal(body, &request) != nil {
		return 0
	}
	return c.boundedWait(request.WaitMs)
}

func (c *Controller) boundedWait(ms int64) time.Duration {
	wait := min(max(ms, 0), c.config.MaxPullWait.Milliseconds())
	return time.Duration(wait) * time.Millisecond
}
