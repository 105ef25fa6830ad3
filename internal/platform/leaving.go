package platform

import "net/http"

// HeaderLeaving is the header, with the value ValueLeaving, of all responses of a backend
// server that is leaving.
const (
	HeaderLeaving = "Leaving"
	ValueLeaving  = "true"
)

// SaysLeaving reports whether the server of a response says that it is leaving.
func SaysLeaving(response *http.Response) bool {
	return response.Header.Get(HeaderLeaving) == ValueLeaving
}
