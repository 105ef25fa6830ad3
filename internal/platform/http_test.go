package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin"
	"github.com/sesamestand/sesamestand/internal/standin/faultproxy"
	"github.com/sesamestand/sesamestand/internal/standin/hostsd"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/standin/weightsd"
)

func startLog(t *testing.T, config logd.Config) (*logd.Server, platform.Log) {
	server := logd.New(config)
	endpoint, err := standin.Listen("127.0.0.1:0", server.Handler())
	must.NoError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	return server, platform.NewHTTPLog(endpoint.Addr(), config.Token)
}

// Guards against records that are altered or reordered between append and read.
func TestLogReturnsRecordsInOrder(t *testing.T) {
	_, log := startLog(t, logd.Config{Token: "secret"})
	first, err := log.Append(t.Context(), "config", [][]byte{{0, 1}, []byte("two")})
	must.NoError(t, err)
	must.Eq(t, 0, first)
	second, err := log.Append(t.Context(), "config", [][]byte{[]byte("three")})
	must.NoError(t, err)
	must.Eq(t, 2, second)
	page, err := log.Read(t.Context(), "config", 1, 0)
	must.NoError(t, err)
	must.Len(t, 2, page.Records)
	must.Eq(t, []byte("two"), page.Records[0].Data)
	must.Eq(t, 2, page.Records[1].Offset)
	must.Eq(t, 3, page.Next)
}

// Guards against a long poll that misses an append made during its wait.
func TestLogReadWaitsForAppend(t *testing.T) {
	_, log := startLog(t, logd.Config{})
	done := make(chan platform.Page, 1)
	go func() {
		page, _ := log.Read(context.Background(), "view", 0, 20*time.Second)
		done <- page
	}()
	_, err := log.Append(t.Context(), "view", [][]byte{[]byte("x")})
	must.NoError(t, err)
	must.Len(t, 1, (<-done).Records)
}

// Guards against a lost response that is reported as a refusal: the request would
// then be reported as "not run" although it may have run.
func TestLostAppendResponseIsUnknownOutcome(t *testing.T) {
	server, log := startLog(t, logd.Config{})
	_, err := log.Append(t.Context(), "intent", [][]byte{[]byte("warm up the connection")})
	must.NoError(t, err)
	server.SetFaults(logd.Faults{LoseResponses: 1})
	_, err = log.Append(t.Context(), "intent", [][]byte{[]byte("lost")})
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	must.Len(t, 2, server.Records("intent"))

	server.SetFaults(logd.Faults{DelayMS: 200})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = log.Append(ctx, "intent", [][]byte{[]byte("timeout")})
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
}

// Guards against a client that keeps using connections that no longer deliver data.
func TestLogReconnectsAfterSilentConnection(t *testing.T) {
	server := logd.New(logd.Config{})
	endpoint, err := standin.Listen("127.0.0.1:0", server.Handler())
	must.NoError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	proxy, err := faultproxy.Listen(endpoint.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = proxy.Close() })
	log := platform.NewHTTPLog(proxy.Addr(), "")
	_, err = log.Append(t.Context(), "intent", [][]byte{[]byte("opens the connection")})
	must.NoError(t, err)
	proxy.Silence()
	_, err = log.Append(t.Context(), "intent", [][]byte{[]byte("silent")})
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = log.Append(t.Context(), "intent", [][]byte{[]byte("new connection")})
	must.NoError(t, err)
}

// Guards against refusals that are treated as unknown outcomes, which would block
// idempotency keys needlessly, and against refused appends that leave records in
// the log.
func TestRefusedAppendLeavesNoRecord(t *testing.T) {
	server, log := startLog(t, logd.Config{AppendsPerSecond: 0.001})
	_, err := log.Append(t.Context(), "intent", [][]byte{[]byte("within the limit")})
	must.NoError(t, err)
	_, err = log.Append(t.Context(), "intent", [][]byte{[]byte("over the limit")})
	must.ErrorIs(t, err, platform.ErrRefused)
	server.SetFaults(logd.Faults{Outage: logd.Outage503})
	_, err = log.Append(t.Context(), "intent", [][]byte{[]byte("outage")})
	must.ErrorIs(t, err, platform.ErrRefused)
	must.Len(t, 1, server.Records("intent"))

	_, err = platform.NewHTTPLog(unusedAddr(t), "").Append(t.Context(), "intent", [][]byte{nil})
	must.ErrorIs(t, err, platform.ErrRefused)
}

func unusedAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against a reader that makes no progress because its offset is below the
// earliest one.
func TestLogReadStartsAtEarliestRecord(t *testing.T) {
	_, log := startLog(t, logd.Config{RetainCount: 2})
	for _, text := range []string{"a", "b", "c"} {
		_, err := log.Append(t.Context(), "config", [][]byte{[]byte(text)})
		must.NoError(t, err)
	}
	page, err := log.Read(t.Context(), "config", 0, 0)
	must.NoError(t, err)
	must.Eq(t, 1, page.Earliest)
	must.Eq(t, []byte("b"), page.Records[0].Data)
	must.Eq(t, 3, page.End)
}

// Guards against clients and stand-ins that disagree on the wire format.
func TestHostListAndWeightStore(t *testing.T) {
	hosts := hostsd.New(hostsd.Config{})
	hosts.Put(platform.BackendServer{ID: "e1", Kind: platform.KindEngine, Model: "album", Addr: "127.0.0.1:1"})
	hosts.Put(platform.BackendServer{ID: "e2", Kind: platform.KindEngine, Model: "album", Addr: "127.0.0.1:2"})
	must.True(t, hosts.SetLeaving("e1"))
	must.True(t, hosts.Remove("e2"))
	hostsEndpoint, err := standin.Listen("127.0.0.1:0", hosts.Handler())
	must.NoError(t, err)
	defer func() { _ = hostsEndpoint.Close() }()
	rows, err := platform.NewHTTPHostList(hostsEndpoint.Addr(), "").BackendServers(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.Eq(t, "e1", rows[0].ID)
	must.True(t, rows[0].Leaving)

	weights := weightsd.New(weightsd.Config{Token: "secret"})
	weights.Publish("album", 8)
	weights.Publish("album", 7)
	weightsEndpoint, err := standin.Listen("127.0.0.1:0", weights.Handler())
	must.NoError(t, err)
	defer func() { _ = weightsEndpoint.Close() }()
	versions, err := platform.NewHTTPWeightStore(weightsEndpoint.Addr(), "secret").Versions(t.Context(), "album")
	must.NoError(t, err)
	must.Eq(t, []int64{7, 8}, versions)
	_, err = platform.NewHTTPWeightStore(weightsEndpoint.Addr(), "wrong").Versions(t.Context(), "album")
	must.Error(t, err)
}

// Guards against transferring an unchanged list again and against missing a change
// after a 304 Not Modified response.
func TestHostListIsTransferredOnlyWhenChanged(t *testing.T) {
	hosts := hostsd.New(hostsd.Config{})
	hosts.Put(platform.BackendServer{ID: "e1"})
	fullResponses := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		hosts.Handler().ServeHTTP(recorded, r)
		if recorded.Code == http.StatusOK {
			fullResponses++
		}
		w.Header().Set("ETag", recorded.Header().Get("ETag"))
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
	}))
	defer server.Close()
	list := platform.NewHTTPHostList(strings.TrimPrefix(server.URL, "http://"), "")
	for i, want := range []int{1, 1, 2} {
		if i == 2 {
			hosts.Put(platform.BackendServer{ID: "e2"})
		}
		rows, err := list.BackendServers(t.Context())
		must.NoError(t, err)
		must.Len(t, want, rows)
	}
	must.Eq(t, 2, fullResponses)
}
