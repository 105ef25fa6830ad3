package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// NoEpoch is the base epoch of a data centre's first view.
const NoEpoch int64 = -1

// maxHosts bounds the hosts of one record; a data centre has about 37.
const maxHosts = 1000

// Record is one record of the view stream.
type Record struct {
	ID         string   `json:"id"` // unique; identifies the record if the response to its append was lost
	DataCentre string   `json:"data_centre"`
	BaseEpoch  int64    `json:"base_epoch"` // epoch of the view that this one replaces, or NoEpoch
	Hosts      []string `json:"hosts"`
	Proposer   string   `json:"proposer"`
}

// Encode returns the JSON form of the record in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, eris.Wrap(err, "encode view record")
}

// Decode parses and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, eris.Wrap(err, "decode view record")
	}
	switch {
	case r.DataCentre == "":
		return r, eris.New("view record has no data centre")
	case r.BaseEpoch < NoEpoch:
		return r, eris.Errorf("view record has base epoch %d, want at least %d", r.BaseEpoch, NoEpoch)
	case len(r.Hosts) == 0 || len(r.Hosts) > maxHosts:
		return r, eris.Errorf("view record has %d hosts, want 1 to %d", len(r.Hosts), maxHosts)
	case slices.Contains(r.Hosts, ""):
		return r, eris.New("view record has an empty host name")
	}
	slices.Sort(r.Hosts)
	r.Hosts = slices.Compact(r.Hosts)
	return r, nil
}

// View is the set of hosts of a data centre that own its replicas.
type View struct {
	Record
	Epoch  int64     // offset of the record
	Time   time.Time // set by the log
	ReadAt time.Time // when this host applied it
}
