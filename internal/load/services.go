package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

func (m ServiceMix) newCall() (call, error) {
	id, err := uuid.NewV7()
	c := call{
		method:  m.Method,
		attempt: Attempt{Mix: m.Name, Class: m.Class, Service: m.Name, Path: "/" + strings.Trim(m.Path, "/")},
		timeout: m.Timeout, attemptTimeout: m.AttemptTimeout,
	}
	if m.Method == http.MethodGet {
		c.attempt.RequestID = id.String()
		c.attempt.Path += "/" + id.String()
		return c, err
	}
	c.attempt.Key = id.String()
	c.body = []byte(`{"confirmation":"` + id.String() + `"}`)
	return c, err
}

// callService sends one attempt of a call to a plain service. All attempts of a
// POST have the same idempotency key, so that the call runs at most once.
func (d *driver) callService(ctx context.Context, c call, attempt *Attempt) {
	url := "http://" + attempt.Entry + "/v1/services/" + attempt.Service + attempt.Path
	response, err := d.send(ctx, url, c, func(h http.Header) {
		if attempt.Key != "" {
			h.Set("Idempotency-Key", attempt.Key)
		} else {
			h.Set("Request-Id", attempt.RequestID)
		}
	})
	if err != nil {
		attempt.setFailure(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	attempt.Status = response.StatusCode
	attempt.Replayed = response.Header.Get(headerReplayed) == "true"
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	switch {
	case response.Header.Get(headerOutcome) != "":
		attempt.setRefusal(response.Header, data)
	case err != nil:
		attempt.setFailure(err)
	case response.StatusCode >= http.StatusInternalServerError:
		// The service itself failed and may have run the call.
		attempt.Result, attempt.Outcome, attempt.Reason = ResultRefused, "unknown", "service-error"
	default:
		attempt.Result, attempt.Text = ResultAnswered, string(data)
	}
}

// reasonUnknownName is the reason of a refusal for a name that is not in the
// active configuration.
const reasonUnknownName = "unknown-name"

// probe requests every probed service from every entry host in turn, and pauses
// for ProbeInterval after each round.
func (d *driver) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, entry := range d.config.Entries {
			for _, service := range d.config.ProbeServices {
				d.probeService(ctx, entry, service)
			}
		}
		select {
		case <-time.After(d.config.ProbeInterval):
		case <-ctx.Done():
		}
	}
}

const probeTimeout = 2 * time.Second

func (d *driver) probeService(ctx context.Context, entry, service string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/services/"+service+"/probe", nil)
	if err != nil {
		return
	}
	setHeaders(request, d.config.CallerToken)
	at := time.Now()
	response, err := d.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	_ = response.Body.Close()
	found := response.Header.Get(headerReason) != reasonUnknownName
	d.recorder.record(func(r *Records) {
		r.Probes = append(r.Probes, Probe{Entry: entry, Service: service, At: at, ServiceFound: found})
	})
}
