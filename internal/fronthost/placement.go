package fronthost

import (
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Key prefixes of the records that do not belong to jobs.
const (
	placementKeyPrefix = "r/"
	suspicionKeyPrefix = "s/"
	limitKeyPrefix     = "l/"
	limitAllocatorKey  = "limit-allocator"
	claimKeyPrefix     = "x/"
)

var errUnknownKey = errors.New("unknown record key")

// placement is the state of a replica's models: those assigned to it, their weight
// versions and the last load order. The order owner writes it to the log; the
// versions also come from the replica's own reports. Those of its entry in the registry
// are not part of it, because other writers may write there too.
type placement struct {
	Serves     []string         `json:"serves,omitempty"`
	Versions   map[string]int64 `json:"versions,omitempty"`
	Loading    string           `json:"loading,omitempty"` // model that is being loaded
	OrderOwner string           `json:"holder,omitempty"`  // member that sent the last order or is about to send one
	// IntentMs is the time, in milliseconds, within which the order owner sends the order
	// after it began to append the intent; 0 means minIntentTime.
	IntentMs int64 `json:"intent_ms,omitempty"`
	// lastIntent is when this host read the last intent of an order owner to send an
	// order, which is a placement record with Loading set. A placement read from a
	// listing counts as an intent, because it does not show when the last order was
	// sent.
	lastIntent time.Time
}

func isPlacementKey(key string) bool { return strings.HasPrefix(key, placementKeyPrefix) }

func encodePlacement(replica string, p *placement) (logstore.Record, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode a placement")
	}
	return logstore.Record{Key: placementKeyPrefix + replica, Value: data}, nil
}

// applyPlacement applies a placement record. The last order owner is set only here,
// from the records in the log. A record from a listing counts as an intent, because
// it may have replaced the intent of an order that was sent a moment ago. The caller
// holds mu.
func (h *Host) applyPlacement(r logstore.Record, fromListing bool, now time.Time) error {
	id := strings.TrimPrefix(r.Key, placementKeyPrefix)
	if r.IsTombstone() {
		delete(h.placements, id)
		return nil
	}
	var p placement
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return eris.Wrap(err, "decode a placement")
	}
	known := h.placement(id)
	known.Serves, known.Loading, known.OrderOwner = p.Serves, p.Loading, p.OrderOwner
	if p.Loading != "" || fromListing {
		known.lastIntent, known.IntentMs = now, p.IntentMs
	}
	for model, version := range p.Versions {
		known.observeVersion(model, version)
	}
	return nil
}

// placement returns the placement of a replica and creates it if absent. The caller
// holds mu.
func (h *Host) placement(id string) *placement {
	p := h.placements[id]
	if p == nil {
		p = &placement{Versions: make(map[string]int64)}
		h.placements[id] = p
	}
	return p
}

// observeVersion records a version that a replica was observed to have. Versions only
// grow, also across a restart of the replica.
func (p *placement) observeVersion(model string, version int64) {
	if version > p.Versions[model] {
		p.Versions[model] = version
	}
}

func (p *placement) serves(model string) bool {
	for _, m := range p.Serves {
		if m == model {
			return true
		}
	}
	return false
}

// versionOf returns the weight version of a replica's model: the higher one of its
// placement and of its present entry in the registry. The caller holds mu.
func (h *Host) versionOf(id, model string) int64 {
	version := h.placement(id).Versions[model]
	if s := h.state.Servers.Get(id); s != nil {
		version = max(version, s.Versions[model])
	}
	return version
}

// versionsOf returns a copy of the weight versions of a registered replica's models. The
// caller holds mu.
func (h *Host) versionsOf(s *deployment.Server) map[string]int64 {
	versions := maps.Clone(h.placement(s.ID).Versions)
	for model, version := range s.Versions {
		versions[model] = max(versions[model], version)
	}
	return versions
}

func isSuspicionKey(key string) bool { return strings.HasPrefix(key, suspicionKeyPrefix) }

// encodeSuspicion returns the record that publishes the suspicion that content with
// the fingerprint caused a crash.
func encodeSuspicion(fingerprint, crash string) logstore.Record {
	return logstore.Record{Key: suspicionKeyPrefix + fingerprint + "/" + crash, Value: []byte("{}")}
}

// applySuspicion counts a crash that a host published. The caller holds mu.
func (h *Host) applySuspicion(r logstore.Record, now time.Time) error {
	fingerprint, crash, ok := strings.Cut(strings.TrimPrefix(r.Key, suspicionKeyPrefix), "/")
	if !ok {
		return errUnknownKey
	}
	if !r.IsTombstone() {
		h.suspects.RecordCrash(fingerprint, crash, false, now)
	}
	return nil
}

// crashesServers reports whether a request's content has crashed so many servers that
// it is refused. The caller holds mu.
func (h *Host) crashesServers(fingerprint string) bool {
	return h.suspects.Verdict(fingerprint) == suspect.Refuse
}
