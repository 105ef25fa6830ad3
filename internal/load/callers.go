package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

var errIncomplete = errors.New("incomplete response: no finish reason")

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
}

// completionResponse is a complete response or one event of a stream in the
// OpenAI format, extended by the request ID, the index and the weight version of
// each part.
type completionResponse struct {
	ID             string   `json:"id"` // request ID
	RequestID      string   `json:"request_id"`
	Index          *int     `json:"index"`
	Token          string   `json:"token"`
	WeightVersion  int64    `json:"weight_version"`
	WeightVersions []int64  `json:"weight_versions"`
	FinishReason   string   `json:"finish_reason"`
	Tokens         []string `json:"tokens"`
	Choices        []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// call is one request of a caller; each of its attempts starts as a copy of attempt.
type call struct {
	method  string
	attempt Attempt // template
	body    []byte
	stream  bool

	timeout, attemptTimeout time.Duration
	deadline                time.Time // sent to the system as Request-Timeout-Ms
}

// newCall builds a request; modelLimit is the declared max_tokens of its model,
// or 0.
func (m CallerMix) newCall(random *rand.Rand, modelLimit int) (call, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return call{}, err
	}
	prompt := m.prompt(random, id.String())
	body := completionBody{
		Model: m.Model, Prompt: prompt, MaxTokens: m.MaxTokens,
		Seed: random.Int64N(1 << 40), Stream: random.Float64() < m.StreamShare,
	}
	data, err := json.Marshal(body)
	return call{
		method: http.MethodPost,
		attempt: Attempt{
			Mix: m.Name, Class: m.Class, RequestID: id.String(), Model: m.Model,
			Prompt: prompt, Seed: body.Seed, MaxTokens: lowerLimit(m.MaxTokens, modelLimit),
		},
		body: data, stream: body.Stream, timeout: m.Timeout, attemptTimeout: m.AttemptTimeout,
	}, err
}

// lowerLimit returns the lower of two limits; 0 means no limit.
func lowerLimit(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// prompt returns a prompt that begins with a shared prefix, so that engines can
// reuse their prefix caches, and ends with the request ID, so that no two responses
// are equal.
func (m CallerMix) prompt(random *rand.Rand, id string) string {
	var b strings.Builder
	if m.SharedPrefixes > 0 && m.PrefixBytes > 0 {
		unit := fmt.Sprintf("%s instructions %d. ", m.Name, random.IntN(m.SharedPrefixes))
		b.WriteString(strings.Repeat(unit, m.PrefixBytes/len(unit)+1)[:m.PrefixBytes])
	}
	if m.CrashPromptShare > 0 && random.Float64() < m.CrashPromptShare {
		b.WriteString(m.CrashPrompt + " ")
	}
	b.WriteString("request " + id)
	return b.String()
}

// runCall sends the call, with retries at the next entry host, until it gets a
// response or a refusal or its deadline passes.
func (d *driver) runCall(ctx context.Context, hosts *entryRotation, c call, send func(context.Context, call, *Attempt)) {
	c.deadline = time.Now().Add(c.timeout)
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(deadlineGrace))
	defer cancel()
	entry := hosts.pick()
	for {
		attempt := c.attempt
		attempt.Entry, attempt.Start = entry, time.Now()
		attemptCtx, stop := context.WithTimeout(ctx, c.attemptTimeout)
		send(attemptCtx, c, &attempt)
		stop()
		attempt.End = time.Now()
		retry := attempt.Result == ResultBroken || attempt.Result == ResultNotConnected
		attempt.Last = !retry || ctx.Err() != nil || time.Now().Add(retryBackoff).After(c.deadline)
		d.recorder.record(func(r *Records) { r.Attempts = append(r.Attempts, attempt) })
		if attempt.Last {
			return
		}
		time.Sleep(retryBackoff)
		entry = hosts.after(entry)
	}
}

// retryBackoff is the pause between a failed attempt and the next one.
const retryBackoff = 50 * time.Millisecond

// complete sends one attempt of a completion request.
func (d *driver) complete(ctx context.Context, c call, attempt *Attempt) {
	response, err := d.send(ctx, "http://"+attempt.Entry+"/v1/completions", c, func(h http.Header) {
		h.Set("Request-Id", attempt.RequestID)
		h.Set("Sesamestand-Class", className(attempt.Class))
	})
	if err != nil {
		attempt.setFailure(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	attempt.Status = response.StatusCode
	attempt.Replayed = response.Header.Get(headerReplayed) == "true"
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		attempt.readStream(response.Body)
		return
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	switch {
	case response.StatusCode != http.StatusOK:
		attempt.setRefusal(response.Header, data)
	case err != nil:
		attempt.setFailure(err)
	default:
		attempt.readResponse(data)
	}
}

// send sends an HTTP request with the headers that all calls have.
func (d *driver) send(ctx context.Context, url string, c call, headers func(http.Header)) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, http.Transport retries a POST that has an Idempotency-Key
	// when a pooled connection breaks, and the retry is not recorded as an attempt.
	request.GetBody = nil
	setHeaders(request, d.config.CallerToken)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	headers(request.Header)
	return d.client.Do(request)
}

// readResponse reads a response that is not streamed.
func (a *Attempt) readResponse(data []byte) {
	var answer completionResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		a.setFailure(fmt.Errorf("decode response: %w", err))
		return
	}
	a.Result, a.FirstToken = ResultAnswered, time.Now()
	if a.isMisdirected(answer.ID) || a.isMisdirected(answer.RequestID) {
		a.MisdirectedParts++
	}
	a.appendPart(answer)
	a.Versions = mergeVersions(a.Versions, answer.WeightVersions...)
	if a.FinishReason == "" {
		a.setFailure(errIncomplete)
	}
}

// readStream reads a response sent as server-sent events.
func (a *Attempt) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	next := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if data = strings.TrimSpace(data); !ok || data == "" {
			continue
		}
		if data == "[DONE]" {
			break
		}
		var event completionResponse
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			a.setFailure(fmt.Errorf("decode event: %w", err))
			return
		}
		if len(event.Error) > 0 && string(event.Error) != "null" {
			a.setRefusal(http.Header{}, []byte(data))
			return
		}
		if event.Index != nil && *event.Index != next || a.isMisdirected(event.ID) || a.isMisdirected(event.RequestID) {
			a.MisdirectedParts++
		}
		next++
		if a.FirstToken.IsZero() {
			a.FirstToken = time.Now()
		}
		a.appendPart(event)
	}
	a.Result = ResultAnswered
	if err := lines.Err(); err != nil {
		a.setFailure(err)
	} else if a.FinishReason == "" {
		a.setFailure(errIncomplete)
	}
}

// isMisdirected reports whether a part carries the ID of another request.
func (a *Attempt) isMisdirected(id string) bool { return id != "" && id != a.RequestID }

// appendPart adds the text, versions and finish reason of a response or event.
func (a *Attempt) appendPart(answer completionResponse) {
	a.Versions = mergeVersions(a.Versions, answer.WeightVersion)
	if answer.FinishReason != "" {
		a.FinishReason = answer.FinishReason
	}
	if len(answer.Choices) > 0 {
		a.Text += answer.Choices[0].Text
		if reason := answer.Choices[0].FinishReason; reason != nil && *reason != "" {
			a.FinishReason = *reason
		}
		return
	}
	a.Text += answer.Token + strings.Join(answer.Tokens, "")
}

// mergeVersions appends the versions that existing lacks. It skips 0, which means
// that a response or event names no version.
func mergeVersions(existing []int64, versions ...int64) []int64 {
next:
	for _, version := range versions {
		for _, n := range existing {
			if n == version {
				continue next
			}
		}
		if version != 0 {
			existing = append(existing, version)
		}
	}
	return existing
}
