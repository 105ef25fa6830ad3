package standin

import (
	"net/http"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// SayLeaving says in a response that the server is leaving, if it is. It must be called
// before the response is written.
func SayLeaving(w http.ResponseWriter, leaving bool) {
	if leaving {
		w.Header().Set(platform.HeaderLeaving, platform.ValueLeaving)
	}
}
