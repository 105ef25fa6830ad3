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

// Kinds of records beside those of jobs: the first part of a key.
const (
	kindPlacement = "r/"
	kindSuspect   = "s/"
)

var errUnknownKey = errors.New("no kind of record has this key")

// placement is what is known of a replica beyond its own reports. The holder
// of the control partition writes it.
type placement struct {
	Serves   []string         `json:"serves,omitempty"`
	Versions map[string]int64 `json:"versions,omitempty"`
	Loading  string           `json:"loading,omitempty"` // model that is being loaded
	Holder   string           `json:"holder,omitempty"`  // member that sends the order
	// intended is when this host read that a holder was about to send an order,
	// or, from a listing, that one has sent orders at some time.
	intended time.Time
}

func ownsPlacement(key string) bool { return strings.HasPrefix(key, kindPlacement) }

func encodePlacement(replica string, p *placement) (logstore.Record, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode a placement")
	}
	return logstore.Record{Key: kindPlacement + replica, Value: data}, nil
}

// applyPlacement takes a placement record. Who ordered last is learned only
// here, from what is in the log. A listed record may have replaced the intent of
// an order that was sent a moment ago. The caller holds mu.
func (h *Host) applyPlacement(r logstore.Record, listed bool, now time.Time) error {
	id := strings.TrimPrefix(r.Key, kindPlacement)
	if r.IsTombstone() {
		delete(h.placed, id)
		return nil
	}
	var p placement
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return eris.Wrap(err, "decode a placement")
	}
	known := h.placement(id)
	known.Serves, known.Loading, known.Holder = p.Serves, p.Loading, p.Holder
	if p.Loading != "" || listed {
		known.intended = now
	}
	for model, version := range p.Versions {
		known.learn(model, version)
	}
	return nil
}

// placement returns the row of a replica, made when absent. The caller holds mu.
func (h *Host) placement(id string) *placement {
	p := h.placed[id]
	if p == nil {
		p = &placement{Versions: make(map[string]int64)}
		h.placed[id] = p
	}
	return p
}

// learn takes a version that a replica was seen to have. Versions only grow,
// also across a restart of the replica.
func (p *placement) learn(model string, version int64) {
	if version > p.Versions[model] {
		p.Versions[model] = version
	}
}

// copyVersions returns a copy of the versions that readers outside may keep.
func (p *placement) copyVersions() map[string]int64 { return maps.Clone(p.Versions) }

func (p *placement) serves(model string) bool {
	for _, m := range p.Serves {
		if m == model {
			return true
		}
	}
	return false
}

// learnVersions takes the versions of a server's own report. The caller holds mu.
func (h *Host) learnVersions(s *deployment.Server) {
	if len(s.Versions) == 0 {
		return
	}
	p := h.placement(s.ID)
	for model, version := range s.Versions {
		p.learn(model, version)
	}
}

func ownsSuspect(key string) bool { return strings.HasPrefix(key, kindSuspect) }

// encodeSuspect returns the record that tells other hosts of a crash.
func encodeSuspect(fingerprint, crash string) logstore.Record {
	return logstore.Record{Key: kindSuspect + fingerprint + "/" + crash, Value: []byte("{}")}
}

// applySuspect counts a crash that another host saw. The caller holds mu.
func (h *Host) applySuspect(r logstore.Record, now time.Time) error {
	fingerprint, crash, ok := strings.Cut(strings.TrimPrefix(r.Key, kindSuspect), "/")
	if !ok {
		return errUnknownKey
	}
	if !r.IsTombstone() {
		h.suspects.RecordCrash(fingerprint, crash, false, now)
	}
	return nil
}

// refused says whether a request's content has crashed too many servers. The
// caller holds mu.
func (h *Host) refused(fingerprint string) bool {
	return h.suspects.Verdict(fingerprint) == suspect.Refuse
}
