package pool

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/pool"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// recordPrefix begins, after duties.KeyPrefix, the keys of the newest orders.
const recordPrefix = "scale/"

var errEncode = errors.New("the order could not be encoded")

// orderRecord is the newest order of one kind of server in a data centre.
type orderRecord struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Spot       bool   `json:"spot,omitempty"`
	Count      int    `json:"count"`
	Change     int    `json:"change"`
}

// subjectOf returns the subject of the orders of a service in a data centre, of both kinds.
// It has a hash, because the names may be longer than a key of the store.
func subjectOf(k pool.Key) string {
	return fmt.Sprintf("%s%016x", recordPrefix, xxhash.Sum64String(fmt.Sprintf("%q %q", k.Service, k.DataCentre)))
}

// encodeOrder returns the record of an order.
func encodeOrder(o pool.Order) (logstore.Record, error) {
	data, err := json.Marshal(orderRecord{Service: o.Service, DataCentre: o.DataCentre, Spot: o.Spot, Count: o.Count, Change: o.Change})
	if err != nil {
		return logstore.Record{}, fmt.Errorf("%w: %v", errEncode, err)
	}
	return logstore.Record{Key: duties.KeyPrefix + subjectOf(o.Key) + "/" + o.Kind(), Value: data}, nil
}

// decodeOrder decodes a stored order. One that cannot be used is logged: the registry still
// shows the servers that it ordered.
func decodeOrder(r logstore.Record) (pool.Order, bool) {
	var w orderRecord
	err := json.Unmarshal(r.Value, &w)
	if err == nil && (w.Service == "" || w.DataCentre == "" || w.Count < 0) {
		err = fmt.Errorf("order of %d servers of service %.40q in data centre %.40q", w.Count, w.Service, w.DataCentre)
	}
	if err != nil {
		klog.InfoS("stored order of servers is not used", "key", r.Key, "err", err)
		return pool.Order{}, false
	}
	return pool.Order{Key: pool.Key{Service: w.Service, DataCentre: w.DataCentre, Spot: w.Spot}, Count: w.Count, Change: w.Change}, true
}
