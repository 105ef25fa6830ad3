package standin

import (
	"net/http"
	"strconv"

	"github.com/sesamestand/sesamestand/internal/httpapi"
)

// NameLimit names a rate limit in a response, in requests per second from all entry
// hosts together; 0 names none. It must be called before the response is written.
func NameLimit(w http.ResponseWriter, perSecond float64) {
	if perSecond > 0 {
		w.Header().Set(httpapi.HeaderRequestsPerSecond, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}
