package capacity

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/core/config"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// publishTimeout is the timeout of each measurement against the log.
const publishTimeout = 30 * time.Second

// appendChanges appends a set of files, followed by the given number of changes
// of one file each, to the configuration stream, and returns the active files.
func appendChanges(ctx context.Context, log platform.Log, files, changes int) (map[string]string, error) {
	all := make(map[string]string, files)
	for i := range files {
		name, content := declaration(i, 1)
		all[name] = content
	}
	records := make([][]byte, 0, changes+1)
	for i := range changes + 1 {
		record := config.Record{ID: fmt.Sprint(i), Kind: config.KindChange, Base: int64(i), Files: all}
		if i > 0 {
			name, content := declaration(i%files, 2+i)
			record.Files = map[string]string{name: content}
		}
		data, err := record.Encode()
		if err != nil {
			return nil, eris.Wrap(err, "encode change")
		}
		records = append(records, data)
	}
	for i := range changes {
		name, content := declaration((i+1)%files, 3+i)
		all[name] = content
	}
	_, err := log.Append(ctx, platform.StreamConfig, records)
	return all, eris.Wrap(err, "append changes")
}

// publication measures the processor time of one publish command by the number
// of changes that the log retains, because the command reads the stream from
// its start.
func publication() ([]Series, error) {
	s := Series{Role: "publish", Name: "one publication, 100 files", Variable: "changes in the log", Unit: "s",
		Target: changesPerDay}
	for _, changes := range []int{100, 300, 600, 1200} {
		server := httptest.NewServer(logd.New(logd.Config{}).Handler())
		log := platform.NewHTTPLog(server.Listener.Addr().String(), "")
		ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
		files, err := appendChanges(ctx, log, 100, changes)
		var used measurement
		if err == nil {
			used = measure(func() any {
				_, err = configs.Publish(ctx, log, files)
				return nil
			})
		}
		cancel()
		server.Close()
		if err != nil {
			return nil, eris.Wrap(err, "publish")
		}
		s.X, s.Y = append(s.X, float64(changes)), append(s.Y, used.cpu)
	}
	return []Series{s}, nil
}

// configPropagation measures the time from the start of a publication until it
// is active on the last host, by the number of hosts that read the log. All
// hosts and the log share this machine.
func configPropagation() ([]Series, error) {
	s := Series{Role: "log reader", Name: "configuration active, elapsed", Variable: "hosts", Unit: "s", Target: 590}
	for _, hosts := range []int{20, 40, 80, 160} {
		took, err := propagationTime(hosts)
		if err != nil {
			return nil, err
		}
		s.X, s.Y = append(s.X, float64(hosts)), append(s.Y, took.Seconds())
	}
	return []Series{s}, nil
}

func propagationTime(hosts int) (time.Duration, error) {
	server := httptest.NewServer(logd.New(logd.Config{AppendsPerSecond: 400}).Handler())
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var all []*configs.Controller
	for i := range hosts {
		id := fmt.Sprintf("entry-%03d", i)
		recorder, err := telemetry.NewRecorder(id, 0)
		if err != nil {
			return 0, eris.Wrap(err, "create a recorder")
		}
		static := staticCluster{members: []cluster.Member{{ID: id, PeerAddr: id}}}
		// Each host has its own connections, as in a real deployment.
		log := platform.NewHTTPLog(server.Listener.Addr().String(), "")
		controller := configs.New(configs.Config{}, log, static, static, recorder)
		running.Go(func() { _ = controller.Run(ctx) })
		all = append(all, controller)
	}
	log := platform.NewHTTPLog(server.Listener.Addr().String(), "")
	version := int64(0)
	var took time.Duration
	for round := range 2 { // the first round is a warm-up in which all hosts start
		start := time.Now()
		name, content := declaration(1, round+1)
		if _, err := configs.Publish(ctx, log, map[string]string{name: content}); err != nil {
			return 0, eris.Wrap(err, "publish")
		}
		before := version
		for _, controller := range all {
			var err error
			if version, err = controller.WaitForVersion(ctx, before); err != nil {
				return 0, err
			}
		}
		took = time.Since(start)
	}
	return took, nil
}
