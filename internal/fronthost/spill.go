package fronthost

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/core/spill"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Sizes that are expected before work is sent.
const (
	expectedItemBytes     = 800  // path, headers and body of an item
	expectedEventBytes    = 380  // one event of a run
	expectedResponseBytes = 2048 // response to a plain request
)

func isClaimKey(key string) bool { return strings.HasPrefix(key, claimKeyPrefix) }

// claimKey returns the key of a claim. It holds the whole claim, so that no claim replaces
// another one in the log.
func claimKey(c spill.Claim) string {
	return fmt.Sprintf("%s%s/%s/%s/%d", claimKeyPrefix, url.PathEscape(c.Service), url.PathEscape(c.From), url.PathEscape(c.To), c.Number)
}

func decodeClaim(key string) (spill.Claim, error) {
	parts := strings.Split(strings.TrimPrefix(key, claimKeyPrefix), "/")
	if len(parts) != 4 {
		return spill.Claim{}, errBadClaim
	}
	for i := range parts[:3] {
		name, err := url.PathUnescape(parts[i])
		if err != nil || name == "" {
			return spill.Claim{}, errBadClaim
		}
		parts[i] = name
	}
	number, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || number <= 0 || parts[1] == parts[2] {
		return spill.Claim{}, errBadClaim
	}
	return spill.Claim{Service: parts[0], From: parts[1], To: parts[2], Number: number}, nil
}

var errBadClaim = errors.New("the key is not a claim of one data centre on another")

// applyClaim applies a claim or its removal. A host that keeps its work local needs none.
// The caller holds mu.
func (h *Host) applyClaim(r logstore.Record, now time.Time) error {
	if h.spill == nil {
		return nil
	}
	c, err := decodeClaim(r.Key)
	switch {
	case err != nil:
		return err
	case r.IsTombstone():
		h.spill.Directions.Removed(c)
	case h.spill.Directions.Apply(c, now):
		klog.InfoS("direction between data centres changed", "service", c.Service, "from", c.From, "to", c.To, "number", c.Number, "offset", r.Offset)
	}
	return nil
}

// publishClaim publishes a claim in the background, and removes those that are obsolete.
// The caller holds mu.
func (h *Host) publishClaim(c spill.Claim) {
	records := []logstore.Record{{Key: claimKey(c), Value: []byte("{}")}}
	for _, o := range h.spill.Directions.Obsolete(c) {
		records = append(records, logstore.Record{Key: claimKey(o)})
	}
	go func() {
		ctx, cancel := context.WithTimeout(h.baseCtx, publishClaimTimeout)
		defer cancel()
		if err := h.appendAll(ctx, controlPartition, records); err != nil {
			klog.InfoS("claim on a direction not published", "service", c.Service, "from", c.From, "to", c.To, "err", err)
		}
	}()
}

// publishClaimTimeout bounds the append of a claim.
const publishClaimTimeout = 2 * time.Second

// claimAge returns the age of this host's copy of the control partition. It must not be
// called under mu.
func (h *Host) claimAge() time.Duration {
	if h.spill == nil {
		return 0
	}
	return h.partitionsAge([]int{controlPartition})
}

// retainShares removes the shares of services that a configuration does not have. The caller
// holds mu.
func (h *Host) retainShares(config *deployment.Config) {
	if h.spill == nil {
		return
	}
	h.spill.RetainServices(func(service string) bool {
		_, ok := config.Services[service]
		return ok
	})
}

// partitionsAge returns the time since the oldest of some partitions was read to its end. It
// must not be called under mu.
func (h *Host) partitionsAge(partitions []int) time.Duration {
	if len(partitions) == 0 {
		return 0
	}
	asOf := h.completeAsOf(partitions)
	if asOf.IsZero() {
		return math.MaxInt64
	}
	return boottime.Now().Sub(asOf)
}

// spilloverOf returns what the decision on a request needs.
func spilloverOf(gate *spill.Gate, route *deployment.Route, service, id string, bodyBytes int, claimAge time.Duration) forward.Spillover {
	return forward.Spillover{
		Gate: gate, Service: service, Key: xxhash.Sum64String(id), Objective: route.Objective,
		Bytes: bodyBytes + expectedResponseBytes, ClaimAge: claimAge, Stream: route.Kind == deployment.Stream,
	}
}

// chooseWithSpillover selects a server for the request and records why it leaves or
// stays. The caller holds host.mu.
func (f *forwarding) chooseWithSpillover(state func(*deployment.Server) ratelimit.State, claimAge time.Duration, now time.Time) forward.Selection {
	h := f.host
	before := h.spill.Share(f.service)
	in := spilloverOf(h.spill, f.route, f.service, f.request.ID, len(f.request.Body), claimAge)
	choice := h.forward.ChooseWithSpillover(h.serversByService[f.service], h.settings.Host.DataCentre, f.excluded, state, in, now)
	if after := h.spill.Share(f.service); after != before {
		klog.InfoS("share of requests that may leave the data centre changed", "service", f.service, "before", before, "after", after)
	}
	if choice.Claim != nil {
		h.publishClaim(*choice.Claim)
	}
	f.verdict = choice.Verdict
	return choice.Selection
}

// placeDetails returns the details of a decision line on whether work left its data
// centre, and counts work that left. There are none while spillover is off.
func (h *Host) placeDetails(call backend.CallKind, dataCentre string, reason spill.Reason) []any {
	if h.spill == nil {
		return nil
	}
	if dataCentre == h.settings.Host.DataCentre {
		return []any{"place", "local", "place_why", string(reason)}
	}
	h.recorder.Count("work_left_total", "call", string(call), "reason", string(reason))
	return []any{"place", dataCentre, "place_why", string(reason)}
}

// placeReason returns why the request is sent to a data centre. The server may differ from
// the selected one if requests to it were granted.
func (f *forwarding) placeReason(dataCentre string) spill.Reason {
	if dataCentre != f.host.settings.Host.DataCentre && !f.verdict.Leaves() {
		return spill.NoLocalServer
	}
	return f.verdict.Reason
}

// recordLeaving records that work is sent to a data centre. The caller holds mu.
func (h *Host) recordLeaving(dataCentre string, now time.Time) {
	if h.spill != nil && dataCentre != h.settings.Host.DataCentre {
		h.spill.RecordStart(dataCentre, now)
	}
}

// recordReach records whether a server in another data centre sent any response. The
// caller holds mu.
func (h *Host) recordReach(server string, responded bool, now time.Time) {
	if h.spill == nil {
		return
	}
	if s := h.state.Servers.Get(server); s != nil && s.DataCentre != h.settings.Host.DataCentre {
		h.spill.RecordSend(s.DataCentre, responded, now)
	}
}

// recordRunReach records the end of a run for recordReach. A run that this host stopped
// counts only if its replica was silent for as long as the scheduler allows. The caller
// holds mu.
func (h *Host) recordRunReach(replica string, events int, end backend.RunEnd, stopped bool, took time.Duration, now time.Time) {
	responded := events > 0 || end.Response != nil
	switch {
	case backend.IsLocal(end.Err):
	case !responded && stopped && took < schedule.Defaults().FirstEventTimeout:
	default:
		h.recordReach(replica, responded, now)
	}
}

// excludeUnreachable makes the replicas in data centres that cannot be reached unusable.
// One replica of a data centre that may be reachable again remains, each time another one.
// The caller holds mu.
func (h *Host) excludeUnreachable(candidates []schedule.Replica, now time.Time) {
	if h.spill == nil {
		return
	}
	doubtful := make(map[string][]*schedule.Replica)
	for i := range candidates {
		c := &candidates[i]
		if c.Usable && c.DataCentre != h.settings.Host.DataCentre && h.spill.Doubtful(c.DataCentre) {
			doubtful[c.DataCentre] = append(doubtful[c.DataCentre], c)
			c.Usable = false
		}
	}
	for dataCentre, replicas := range doubtful {
		turn := int(now.UnixNano() / int64(h.spill.Config().CloseTime))
		replicas[turn%len(replicas)].Usable = h.spill.Reachable(dataCentre, now)
	}
}

// leaving returns what runs in other data centres cost, or nil if spillover is off.
func (h *Host) leaving() *schedule.Leaving {
	if h.spill == nil {
		return nil
	}
	return &schedule.Leaving{
		DataCentre: h.settings.Host.DataCentre, Terms: h.spill.Config().Terms,
		ItemBytes: expectedItemBytes, EventBytes: expectedEventBytes,
	}
}
