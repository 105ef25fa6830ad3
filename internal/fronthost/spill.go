package fronthost

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
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

// claimRecord is the value of a claim on a direction between two data centres.
type claimRecord struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Number  int64  `json:"number"`
}

func isClaimKey(key string) bool { return strings.HasPrefix(key, claimKeyPrefix) }

func encodeClaim(c spill.Claim) (logstore.Record, error) {
	data, err := json.Marshal(claimRecord(c))
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode a claim")
	}
	key := claimKeyPrefix + url.PathEscape(c.Service) + "/" + url.PathEscape(c.From) + "/" + url.PathEscape(c.To)
	return logstore.Record{Key: key, Value: data}, nil
}

// applyClaim applies a claim. A host that keeps its work local needs none. The caller
// holds mu.
func (h *Host) applyClaim(r logstore.Record, now time.Time) error {
	if h.spill == nil || r.IsTombstone() {
		return nil
	}
	var c claimRecord
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return eris.Wrap(err, "decode a claim")
	}
	if c.From == c.To || c.From == "" || c.To == "" {
		return errors.New("a claim needs two data centres")
	}
	if h.spill.Directions.Apply(spill.Claim(c), now) {
		klog.InfoS("direction between data centres changed", "service", c.Service, "from", c.From, "to", c.To, "number", c.Number, "offset", r.Offset)
	}
	return nil
}

// publishClaims publishes claims in the background.
func (h *Host) publishClaims(claims []spill.Claim) {
	for _, c := range claims {
		go func() {
			ctx, cancel := context.WithTimeout(h.baseCtx, publishClaimTimeout)
			defer cancel()
			record, err := encodeClaim(c)
			if err == nil {
				err = h.appendAll(ctx, controlPartition, []logstore.Record{record})
			}
			if err != nil {
				klog.InfoS("claim on a direction not published", "service", c.Service, "from", c.From, "to", c.To, "err", err)
			}
		}()
	}
}

// publishClaimTimeout bounds the append of a claim.
const publishClaimTimeout = 2 * time.Second

// claimAge returns the age of this host's copy of the control partition. It must not be
// called under mu.
func (h *Host) claimAge() time.Duration {
	if h.spill == nil {
		return 0
	}
	asOf := h.completeAsOf([]int{controlPartition})
	if asOf.IsZero() {
		return math.MaxInt64
	}
	return boottime.Now().Sub(asOf)
}

// chooseWithSpillover selects a server for the request and records why it leaves or
// stays. The caller holds host.mu.
func (f *forwarding) chooseWithSpillover(state func(*deployment.Server) ratelimit.State, claimAge time.Duration, now time.Time) forward.Selection {
	h := f.host
	before := h.spill.Share(f.service)
	choice := h.forward.ChooseWithSpillover(h.serversByService[f.service], h.settings.Host.DataCentre, f.excluded, state, forward.Spillover{
		Gate: h.spill, Service: f.service, Key: xxhash.Sum64String(f.request.ID), Objective: f.route.Objective,
		Bytes: len(f.request.Body) + expectedResponseBytes, ClaimAge: claimAge,
	}, now)
	if after := h.spill.Share(f.service); after != before {
		klog.InfoS("share of requests that may leave the data centre changed", "service", f.service, "before", before, "after", after)
	}
	h.publishClaims(choice.Claims)
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
	case errors.Is(end.Err, backend.ErrExpired):
	case !responded && stopped && took < schedule.Defaults().FirstEventTimeout:
	default:
		h.recordReach(replica, responded, now)
	}
}

// isReachable reports whether items may be sent to a data centre. The caller holds mu.
func (h *Host) isReachable(dataCentre string, now time.Time) bool {
	return h.spill == nil || dataCentre == h.settings.Host.DataCentre || h.spill.Reachable(dataCentre, now)
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
