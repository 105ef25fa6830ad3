package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin"
	"github.com/sesamestand/sesamestand/internal/standin/hostsd"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/standin/scorerd"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
	"github.com/sesamestand/sesamestand/internal/standin/weightsd"
)

func listen(t *testing.T, handler http.Handler) (*standin.Endpoint, string) {
	endpoint, err := standin.Listen("127.0.0.1:0", handler)
	must.NoError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	return endpoint, "http://" + endpoint.Addr()
}

// post returns the status and the body, or status 0 if the connection broke.
func post(t *testing.T, url, key, body string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	must.NoError(t, err)
	request.Header.Set("Idempotency-Key", key)
	request.GetBody = nil // otherwise the transport retries requests with an idempotency key
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(data)
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
}

// Guards against calls that run without being recorded, and against refused
// calls or calls with a lost response that are counted wrongly. The checker
// relies on these records to verify that a non-idempotent call runs at most once
// (P6).
func TestServiceRecordsEveryCall(t *testing.T) {
	service := serviced.New(serviced.Config{ID: "desk1"})
	_, url := listen(t, service.Handler())
	status, body := post(t, url+"/trays", "k1", "{}")
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, `"key":"k1"`)

	status, _ = post(t, url+"/faults", "", `{"lose_answers":1}`)
	must.Eq(t, http.StatusOK, status)
	status, _ = post(t, url+"/trays", "k1", "{}")
	must.Eq(t, 0, status)
	service.SetFaults(serviced.Faults{Refuse: true})
	status, _ = post(t, url+"/trays", "k2", "{}")
	must.Eq(t, http.StatusServiceUnavailable, status)

	// A body over the limit is refused; an empty success would look like an answer.
	status, _ = post(t, url+"/trays", "k3", strings.Repeat("x", 1<<20+1))
	must.Eq(t, http.StatusRequestEntityTooLarge, status)

	must.Len(t, 3, service.Journal())
	must.Eq(t, map[string]int{"k1": 2}, service.Duplicates())
	must.False(t, service.Journal()[2].Ran)
}

// Guards against a POST /faults request for one fault that resets the others,
// and against an invalid body that changes any.
func TestFaultsAreMerged(t *testing.T) {
	log := logd.New(logd.Config{})
	_, url := listen(t, log.Handler())
	post(t, url+"/faults", "", `{"delay_ms":1}`)
	_, body := post(t, url+"/faults", "", `{"outage":"503"}`)
	var faults logd.Faults
	must.NoError(t, json.Unmarshal([]byte(body), &faults))
	must.Eq(t, logd.Faults{Outage: logd.Outage503, DelayMS: 1}, faults)
	status, _ := post(t, url+"/faults", "", `{"delay_ms":"x"}`)
	must.Eq(t, http.StatusBadRequest, status)
	status, _ = post(t, url+"/streams/config/records", "", `["AA=="]`)
	must.Eq(t, http.StatusServiceUnavailable, status)
	post(t, url+"/faults", "", `{"outage":"closed"}`)
	status, _ = post(t, url+"/streams/config/records", "", `["AA=="]`)
	must.Eq(t, 0, status)
	must.Len(t, 0, log.Records("config"))
}

// Guards against records that are retained for too long, and against an offset
// that is assigned twice once all records have expired.
func TestLogRemovesExpiredRecords(t *testing.T) {
	log := logd.New(logd.Config{RetainAge: 20 * time.Millisecond})
	_, url := listen(t, log.Handler())
	client := platform.NewHTTPLog(strings.TrimPrefix(url, "http://"), "")
	_, err := client.Append(t.Context(), "view", [][]byte{[]byte("a")})
	must.NoError(t, err)
	eventually(t, func() bool {
		page, err := client.Read(t.Context(), "view", 0, 0)
		return err == nil && len(page.Records) == 0 && page.Earliest == 1
	})
	offset, err := client.Append(t.Context(), "view", [][]byte{[]byte("b")})
	must.NoError(t, err)
	must.Eq(t, 1, offset)
}

// Guards against changes that are visible immediately: readers of the platform's
// host list see them with a delay.
func TestHostListDelaysChanges(t *testing.T) {
	hosts := hostsd.New(hostsd.Config{Lag: time.Hour})
	hosts.Put(platform.BackendServer{ID: "e1"})
	must.Len(t, 0, hosts.Visible())
	must.Len(t, 1, hosts.Changes())

	_, url := listen(t, hosts.Handler())
	status, _ := post(t, url+"/hosts", "", `{"id":"e1","leaving":true}`)
	must.Eq(t, http.StatusOK, status)
	must.True(t, hosts.Changes()[1].Server.Leaving)
}

// Guards against truncated weights that are served without an error.
func TestWeightStoreServesCompleteBlobs(t *testing.T) {
	store := weightsd.New(weightsd.Config{BlobBytes: 100_000, BytesPerSecond: 10 << 20})
	_, url := listen(t, store.Handler())
	status, _ := post(t, url+"/models/album/versions/8", "", "{}")
	must.Eq(t, http.StatusCreated, status)
	get := func(path string) (int, int, error) {
		response, err := http.Get(url + path)
		must.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		n, err := io.Copy(io.Discard, response.Body)
		return response.StatusCode, int(n), err
	}
	status, n, err := get("/models/album/versions/8/blob")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, 100_000, n)
	status, _, _ = get("/models/album/versions/9/blob")
	must.Eq(t, http.StatusNotFound, status)
	store.SetFaults(weightsd.Faults{FailBlobs: true})
	_, _, err = get("/models/album/versions/8/blob")
	must.Error(t, err)
}

// Guards against scores that are returned in another order than the samples.
func TestScorerScoresInOrder(t *testing.T) {
	scorer := scorerd.New(scorerd.Config{})
	_, url := listen(t, scorer.Handler())
	_, body := post(t, url+"/score", "", `{"group":"g","samples":[["a","b"],["c"]]}`)
	var reply scorerd.Reply
	must.NoError(t, json.Unmarshal([]byte(body), &reply))
	must.Eq(t, []float64{scorerd.Score([]string{"a", "b"}), scorerd.Score([]string{"c"})}, reply.Scores)
	must.Eq(t, 2, scorer.Scored())
	scorer.SetFaults(scorerd.Faults{DropConnections: true})
	status, _ := post(t, url+"/score", "", `{}`)
	must.Eq(t, 0, status)
}

// Guards against a stand-in that is down but still responds on connections that
// were opened earlier.
func TestEndpointDown(t *testing.T) {
	endpoint, url := listen(t, serviced.New(serviced.Config{}).Handler())
	status, _ := post(t, url+"/a", "", "")
	must.Eq(t, http.StatusOK, status)
	endpoint.SetDown(true)
	status, _ = post(t, url+"/a", "", "")
	must.Eq(t, 0, status)
	endpoint.SetDown(false)
	status, _ = post(t, url+"/a", "", "")
	must.Eq(t, http.StatusOK, status)
}
