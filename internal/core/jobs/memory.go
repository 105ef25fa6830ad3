package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

const (
	// jobBytes is the memory of a job beside its items.
	jobBytes = 2 << 10
	// itemBytes is the memory of an item and its result beside their text, on each host.
	itemBytes = 640
	// openItemBytes is the memory of an item without a result beside its payload, on the
	// host that runs it.
	openItemBytes = 800
)

// Footprint is the memory of a job on a host.
type Footprint struct {
	Lasting int64 // until the job is removed
	Open    int64 // as long as items may run; any host may have to run them
}

// Footprint returns an upper bound of the memory of the job.
func (j *Job) Footprint() Footprint {
	size := jobBytes + len(j.ID) + len(j.Workspace) + len(j.Host) + len(j.Path) + len(j.Model)
	for i := range j.Items {
		item := &j.Items[i]
		size += itemBytes + 2*len(item.ID) + len(item.Group) + 3*len(item.ScoreKey)
	}
	return Footprint{Lasting: int64(size), Open: int64(len(j.Items))*openItemBytes + int64(j.Payloads.Bytes)}
}

// Bytes returns the memory of an open job.
func (f Footprint) Bytes() int64 { return f.Lasting + f.Open }

// eventBytes is the memory of an event of an output beside its text.
const eventBytes = 32

// Bytes returns the memory of a partial output.
func (p *Partial) Bytes() int64 {
	size := len(p.Events) * eventBytes
	for _, event := range p.Events {
		size += len(event)
	}
	return int64(size)
}

// Held returns the memory of all jobs.
func (t *Table) Held() int64 { return t.held }

// updateHeld updates the memory of a job whose state has changed.
func (t *Table) updateHeld(e *Entry) {
	held := int64(0)
	switch {
	case e.Job == nil:
		for _, chunk := range e.chunks {
			held += int64(len(chunk))
		}
	case e.IsDone():
		held = e.footprint.Lasting
	default:
		held = e.footprint.Bytes()
	}
	t.held += held - e.held
	e.held = held
}

// IsDone reports whether no item of an accepted job needs to run any more.
func (e *Entry) IsDone() bool { return e.Ended || len(e.Results) == len(e.Job.Items) }

// DecodePayload returns one of the encoded payloads of a job, without the memory of the
// others.
func DecodePayload(data []byte, index int) (Payload, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return Payload{}, eris.Wrap(err, "decode payloads")
	}
	var skipped json.RawMessage
	for i := 0; decoder.More(); i++ {
		if i < index {
			if err := decoder.Decode(&skipped); err != nil {
				return Payload{}, eris.Wrap(err, "decode payloads")
			}
			continue
		}
		var payload Payload
		err := decoder.Decode(&payload)
		return payload, eris.Wrap(err, "decode payload")
	}
	return Payload{}, fmt.Errorf("payload %d is missing", index)
}
