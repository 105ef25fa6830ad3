package entry

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/settings"
)

// Guards against accepting another trainer's token or a caller's token for a
// trainer, and against accepting callers without a token if tokens are
// configured.
func TestCallersAndTrainersNeedTheirOwnToken(t *testing.T) {
	s := settings.Defaults()
	s.Auth.CallerTokens = []string{"caller"}
	s.Auth.TrainerTokens = map[string]string{"captions": "c-secret", "layouts": "l-secret"}
	h := &Host{settings: s}
	for _, c := range []struct {
		path, token string
		want        bool
	}{
		{"/v1/trainers/layouts/pull", "l-secret", true},
		{"/v1/trainers/layouts/pull", "c-secret", false},
		{"/v1/trainers/layouts/pull", "caller", false},
		{"/v1/trainers/layouts/pull", "", false},
		{"/v1/trainers/unknown/pull", "caller", false},
		{"/v1/completions", "caller", true},
		{"/v1/completions", "", false},
		{"/v1/services/orders/confirm", "l-secret", false},
	} {
		r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1"+c.path, nil)
		must.NoError(t, err)
		if c.token != "" {
			r.Header.Set("Authorization", "Bearer "+c.token)
		}
		must.Eq(t, c.want, h.authorized(r), must.Sprint(c.path, " with ", c.token))
	}
}
