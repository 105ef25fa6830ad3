package services

import (
	"errors"
	"net/http"
	"net/textproto"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/intake"
)

// PathPrefix precedes the name of the service in request paths.
const PathPrefix = "/v1/services/"

// encodedSlash is the percent-encoding of a slash, in lower case.
const encodedSlash = "%2f"

// maxRequestIDBytes bounds request IDs, which are stored in memory and in logs.
const maxRequestIDBytes = 128

// request is a caller's request to a plain service with its complete body.
type request struct {
	id       string
	service  *declare.Service
	method   string
	path     string // decoded path after the service's name
	uri      string // path and query as sent to the backend server
	header   http.Header
	body     []byte
	deadline time.Time
	caller   cluster.Caller
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (c *Controller) parse(w http.ResponseWriter, r *http.Request, requestID string) (*request, *cluster.Refusal) {
	if len(requestID) > maxRequestIDBytes {
		return nil, notRun(cluster.ReasonBadRequest, "the request ID is over "+strconv.Itoa(maxRequestIDBytes)+" bytes")
	}
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), PathPrefix)
	if strings.Contains(strings.ToLower(escaped), encodedSlash) {
		// Servers differ in whether an encoded slash separates segments, so the call
		// could be repeatable in one reading and not in the other.
		return nil, notRun(cluster.ReasonBadRequest, "the path must not hold an encoded slash")
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, PathPrefix), "/")
	rest = "/" + rest
	if clean := path.Clean(rest); clean != rest && clean+"/" != rest {
		// A path like /score/../orders would match the repeatable path /score.
		return nil, notRun(cluster.ReasonBadRequest, "the path must not hold empty, \".\" or \"..\" segments")
	}
	service := c.service(name)
	if service == nil {
		return nil, notRun(cluster.ReasonUnknownName, "service "+strconv.Quote(name)+" is not declared")
	}
	timeout, err := c.timeout(r.Header.Get(httpapi.HeaderRequestTimeout))
	if err != nil {
		return nil, notRun(cluster.ReasonBadRequest, err.Error())
	}
	deadline := time.Now().Add(timeout)
	body, err := intake.ReadBody(w, r, c.config.MaxBodyBytes)
	if err != nil {
		return nil, intake.BodyRefusal(err)
	}
	_, escaped, _ = strings.Cut(escaped, "/")
	uri := "/" + escaped
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return &request{
		id: requestID, service: service, method: r.Method, path: rest, uri: uri,
		header: endToEndHeaders(r.Header), body: body, deadline: deadline,
	}, nil
}

func (c *Controller) timeout(text string) (time.Duration, error) {
	if text == "" {
		return c.config.RequestTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errors.New(httpapi.HeaderRequestTimeout + " must be a positive number of milliseconds")
	}
	if ms > maxRequestTimeout.Milliseconds() {
		return maxRequestTimeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// endToEndHeaders returns the headers without the hop-by-hop ones.
func endToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool {
	if r.method == http.MethodGet || r.method == http.MethodHead {
		return true
	}
	return slices.ContainsFunc(r.service.RepeatablePaths, func(prefix string) bool {
		prefix = strings.TrimSuffix(prefix, "/")
		return r.path == prefix || strings.HasPrefix(r.path, prefix+"/")
	})
}

// bufferedResponse is a backend server's complete response.
type bufferedResponse struct {
	status   int
	header   http.Header
	body     []byte
	replayed bool
}

func (a *bufferedResponse) write(w http.ResponseWriter, requestID string) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set(httpapi.HeaderRequestID, requestID)
	if a.replayed {
		w.Header().Set(httpapi.HeaderReplayed, "true")
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // if the caller has disconnected, the response remains stored
}

// headerSeparator joins the values of one header in a stored response. HTTP header
// values cannot contain it.
const headerSeparator = "\n"

func (a *bufferedResponse) result() intent.Result {
	header := make(map[string]string, len(a.header))
	for name, values := range a.header {
		header[name] = strings.Join(values, headerSeparator)
	}
	return intent.Result{Status: a.status, Header: header, Body: a.body}
}

func responseFromResult(result intent.Result) *bufferedResponse {
	header := make(http.Header, len(result.Header))
	for name, values := range result.Header {
		header[name] = strings.Split(values, headerSeparator)
	}
	return &bufferedResponse{status: result.Status, header: header, body: result.Body}
}
