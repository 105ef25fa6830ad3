package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Guards against one odd row after which the host list is not followed any more.
func TestOddRowOfTheHostListIsSkipped(t *testing.T) {
	body := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	list := platform.NewHTTPHostList(strings.TrimPrefix(server.URL, "http://"), "")
	good := `{"id":"e1","kind":"engine","model":"album","addr":"127.0.0.1:1","extra":[[{}]]}`
	for _, odd := range []string{
		`7`, `null`, `[]`, `{}`, `{"id":7}`, `{"id":""}`, `{"id":"x","addr":"127.0.0.1:99999"}`, `{"id":"x","addr":"127.0.0.1"}`, `{"id":"x","addr":"host:80"}`,
		`{"id":"x","addr":"0.0.0.0:80"}`, `{"id":"x","leaving":"yes"}`, `{"id":"` + strings.Repeat("x", 300) + `","addr":"127.0.0.1:1"}`,
		`{"id":"x","extra":1e999,"kind":1e999}`,
	} {
		for _, rows := range []string{odd + "," + good, good + "," + odd} {
			body = `{"hosts":[` + rows + `]}`
			servers, err := list.BackendServers(t.Context())
			must.NoError(t, err, must.Sprint(odd))
			must.Len(t, 1, servers, must.Sprint(odd))
			must.EqOp(t, "e1", servers[0].ID)
		}
	}
	body = `{"hosts":[` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `]}`
	_, err := list.BackendServers(t.Context())
	must.Error(t, err)
	body = `{"hosts":[` + good + `]}`
	servers, err := list.BackendServers(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, servers)
}

func FuzzHostListRow(f *testing.F) {
	f.Add(`{"id":"e1","kind":"engine","addr":"127.0.0.1:1"}`)
	f.Add(`{"id":"e1","addr":"127.0.0.1:99999"}`)
	f.Add(`[[[`)
	f.Fuzz(func(t *testing.T, row string) {
		_, _ = platform.DecodeBackendServer([]byte(row))
	})
}
