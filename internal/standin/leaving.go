package standin

import (
	"net/http"

	"github.com/sesamestand/sesamestand/internal/httpapi"
)

// SayLeaving says in a response that the server is leaving, if it is. It must be called
// before the response is written.
func SayLeaving(w http.ResponseWriter, leaving bool) {
	if leaving {
		w.Header().Set(httpapi.HeaderLeaving, httpapi.ValueLeaving)
	}
}
