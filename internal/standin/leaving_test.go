package standin_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/scorerd"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
)

// Guards against stand-ins that leave and do not say so in each response, or say so
// without a fault that was set.
func TestServersSayInAllResponsesThatTheyLeave(t *testing.T) {
	handlers := map[string]http.Handler{
		"service": serviced.New(serviced.Config{ID: "desk1"}).Handler(),
		"scorer":  scorerd.New(scorerd.Config{}).Handler(),
		"engine":  engined.New(engined.Config{ID: "e1", Model: "album", Version: 1}).Handler(),
	}
	requests := map[string][][2]string{
		"service": {{"/trays", "{}"}},
		"scorer":  {{"/score", `{"group": "g", "samples": [["a"]]}`}},
		"engine":  {{"/v1/completions", `{"model": "other"}`}, {"/orders", "{}"}},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			_, url := listen(t, handler)
			for _, leaving := range []string{"", platform.ValueLeaving} {
				if leaving != "" {
					status, _ := post(t, url+"/faults", "", `{"leaving": true}`)
					must.EqOp(t, http.StatusOK, status)
				}
				for _, request := range requests[name] {
					response, err := http.Post(url+request[0], "application/json", strings.NewReader(request[1]))
					must.NoError(t, err)
					must.NoError(t, response.Body.Close())
					must.EqOp(t, leaving, response.Header.Get(platform.HeaderLeaving), must.Sprint(request[0]))
				}
			}
		})
	}
}
