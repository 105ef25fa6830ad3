package capacity

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/config"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	// keysPerSecond is the rate of non-idempotent calls: 0.6% of 17,000 requests
	// per second. The share is an assumption, because section 1.6 of the design
	// does not break down the peak load.
	keysPerSecond    = 100
	retentionSeconds = 24 * 3600
	// declaredFiles is the number of declaration files. The value is an
	// assumption: the files of 28 trainers with their models, services and
	// needs, plus some growth.
	declaredFiles = 500
	changesPerDay = 17_000
	// readOverhead is the number of bytes of a record in a page besides its
	// data: its offset and time as JSON fields. The data is base64 encoded, 4
	// bytes for every 3.
	readOverhead = 70
)

// intents measures the cost that every key in the stream causes on each host,
// regardless of its originator: the memory of the row during the retention, the
// processor time to apply it and the bytes to read it.
func intents() ([]Series, error) {
	memory := Series{Role: "log reader", Name: "intent rows", Variable: "keys in retention", Unit: "B",
		Target: keysPerSecond * retentionSeconds, Scale: 1e-6, LimitUnit: Memory}
	cpu := Series{Role: "log reader", Name: "intents applied", Variable: "keys", Unit: "s",
		Target: keysPerSecond, Scale: 100, LimitUnit: CPU, PerEvent: true}
	net := Series{Role: "log reader", Name: "intents read", Variable: "keys a second", Unit: "B/s",
		Target: keysPerSecond, Scale: 1e-3, LimitUnit: Net}
	for _, keys := range []int{25_000, 50_000, 100_000, 200_000} {
		now := time.Unix(1_700_000_000, 0)
		pages, bytes, err := intentPages(keys, now)
		if err != nil {
			return nil, err
		}
		ledger := intent.NewLedger(intent.Config{Self: intent.Originator{Host: "entry-000", Incarnation: 1}, StartTime: now,
			Retention: retentionSeconds * time.Second, MaxClockSkew: 5 * time.Second})
		used := measure(func() any {
			for _, page := range pages {
				ledger.Apply(page, now)
			}
			return []any{ledger, pages} // the pages were allocated before the measurement
		})
		if ledger.SkippedRecords() != 0 || ledger.NextOffset() != int64(keys) {
			return nil, eris.Errorf("ledger read %d of %d intents", ledger.NextOffset(), keys)
		}
		memory.X, memory.Y = append(memory.X, float64(keys)), append(memory.Y, used.heap)
		cpu.X, cpu.Y = append(cpu.X, float64(keys)), append(cpu.Y, used.cpu)
		rate := float64(keys) / 1000
		net.X, net.Y = append(net.X, rate), append(net.Y, rate*float64(bytes)/float64(keys))
	}
	return []Series{memory, cpu, net}, nil
}

// intentPages returns a stream of intents of 590 hosts and the number of bytes
// in which it is read.
func intentPages(keys int, now time.Time) ([]platform.Page, int, error) {
	const perPage = 500
	var pages []platform.Page
	bytes := 0
	for from := 0; from < keys; from += perPage {
		page := platform.Page{Next: int64(min(from+perPage, keys)), End: int64(keys)}
		for i := from; i < min(from+perPage, keys); i++ {
			var key intent.Key
			binary.BigEndian.PutUint64(key[:8], uint64(now.UnixMilli())<<16|7<<12)
			binary.BigEndian.PutUint64(key[8:], 1<<63|uint64(i)*2654435761)
			data, err := intent.Record{Kind: intent.KindIntent, Key: key, Nonce: intent.Nonce(key),
				Originator: intent.Originator{Host: fmt.Sprintf("entry-%03d", i%590), Incarnation: now.UnixMilli()}}.Encode()
			if err != nil {
				return nil, 0, eris.Wrap(err, "encode intent")
			}
			bytes += (len(data)+2)/3*4 + readOverhead
			page.Records = append(page.Records, platform.Record{Offset: int64(i), Time: now, Data: data})
		}
		pages = append(pages, page)
	}
	return pages, bytes, nil
}

// declaration returns a declaration file with one model and one trainer of it.
func declaration(i, replicas int) (name, content string) {
	name = fmt.Sprintf("model-%04d", i)
	return name + ".ini", fmt.Sprintf("[model %s]\nreplicas = dc-01:%d, dc-02:%d\n\n[trainer t%04d]\nmodel = %s\n"+
		"share = 1\nstaleness_bound = 6\ngroup_size = 8\nsurplus = 2\nidle_weight = 0.8\nmax_tokens = 512\n",
		name, replicas, replicas, i, name)
}

// configuration measures the processor time to apply a change of one file and the
// memory of the configuration, both by the number of files, and the processor
// time by the number of changes.
func configuration() ([]Series, error) {
	memory := Series{Role: "log reader", Name: "configuration in memory", Variable: "files", Unit: "B", Target: declaredFiles,
		Scale: 1e-6, LimitUnit: Memory}
	apply := Series{Role: "log reader", Name: "one configuration change", Variable: "files", Unit: "s", Target: declaredFiles,
		Scale: 100.0 * changesPerDay / retentionSeconds, LimitUnit: CPU}
	for _, files := range []int{125, 250, 500, 1000} {
		const changes = 20
		heapBytes, cpuSeconds, err := changeFiles(files, changes)
		if err != nil {
			return nil, err
		}
		memory.X, memory.Y = append(memory.X, float64(files)), append(memory.Y, heapBytes)
		apply.X, apply.Y = append(apply.X, float64(files)), append(apply.Y, cpuSeconds/changes)
	}
	perChange := Series{Role: "log reader", Name: "configuration changes, 250 files", Variable: "changes", Unit: "s", Target: changesPerDay, PerEvent: true}
	for _, changes := range []int{50, 100, 200} {
		_, cpuSeconds, err := changeFiles(250, changes)
		if err != nil {
			return nil, err
		}
		perChange.X, perChange.Y = append(perChange.X, float64(changes)), append(perChange.Y, cpuSeconds)
	}
	return []Series{memory, apply, perChange}, nil
}

// changeFiles applies a set of files in one record and then changes of one file
// each. It returns the memory of the configuration before the changes and the
// processor time of the changes.
func changeFiles(files, changes int) (heapBytes, cpuSeconds float64, err error) {
	now := time.Unix(1_700_000_000, 0)
	follower := config.NewFollower()
	all := make(map[string]string, files)
	for i := range files {
		name, content := declaration(i, 1)
		all[name] = content
	}
	apply := func(record config.Record) {
		data, failed := record.Encode()
		if failed != nil {
			err = failed
			return
		}
		at := follower.Next()
		for _, event := range follower.Apply(platform.Page{Next: at + 1, End: at + 1,
			Records: []platform.Record{{Offset: at, Time: now, Data: data}}}) {
			if !event.Accepted {
				err = eris.Errorf("record %s at %d was not accepted: %v", event.ID, event.Offset, event.Err)
			}
		}
	}
	built := measure(func() any {
		apply(config.Record{ID: "first", Kind: config.KindChange, Files: all})
		return follower
	})
	changed := measure(func() any {
		for i := range changes {
			name, content := declaration(i%files, 2+i)
			apply(config.Record{ID: fmt.Sprint(i), Kind: config.KindChange, Base: follower.State().Version,
				Files: map[string]string{name: content}})
		}
		return follower
	})
	return built.heap, changed.cpu, err
}
