package testbed

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/checker"
	"github.com/sesamestand/sesamestand/internal/load"
)

// readyPollInterval is the interval at which the readiness of an entry host is
// polled.
const readyPollInterval = 50 * time.Millisecond

// Facts combines the records of the load tool with those of the stand-ins.
func (t *Testbed) Facts(records load.Records) checker.Facts {
	facts := checker.Facts{Load: records, Hosts: t.HostList.Changes()}
	for _, e := range t.Engines {
		facts.Engines = append(facts.Engines, e.Journal())
	}
	for _, servers := range t.Services {
		for _, s := range servers {
			facts.Services = append(facts.Services, s.Journal()...)
		}
	}
	return facts
}

// WaitReady waits until every entry host is ready.
func (t *Testbed) WaitReady(ctx context.Context) error {
	for _, e := range t.Entries {
		if err := waitReady(ctx, e.Settings.Host.HTTPAddr); err != nil {
			return eris.Wrapf(err, "entry host %s is not ready", e.Settings.Host.ID)
		}
	}
	return nil
}

func waitReady(ctx context.Context, addr string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}
