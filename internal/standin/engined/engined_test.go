package engined

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"pgregory.net/rapid"

	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const testTimeout = 20 * time.Second

func startEngine(t *testing.T, config Config) (*Server, string) {
	if config.Model == "" {
		config.Model = "album"
	}
	if config.Version == 0 {
		config.Version = 7
	}
	config.ID = "e1"
	server := New(config)
	addr, err := server.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return server, addr
}

func post(t *testing.T, addr, path string, body any) *http.Response {
	data, err := json.Marshal(body)
	must.NoError(t, err)
	response, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader(data))
	must.NoError(t, err)
	return response
}

var errNoDone = errors.New("stream ended without [DONE]")

// readStream returns the chunks of a stream, and errNoDone if the stream is
// truncated. It calls onChunk, if set, after every chunk.
func readStream(response *http.Response, onChunk func(engine.Chunk)) ([]engine.Chunk, error) {
	defer func() { _ = response.Body.Close() }()
	var chunks []engine.Chunk
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return chunks, nil
		}
		var chunk engine.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
		if onChunk != nil {
			onChunk(chunk)
		}
	}
	return chunks, errNoDone
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(testTimeout), wait.Gap(5*time.Millisecond)))
}

func tokensOf(chunks []engine.Chunk) (tokens []string) {
	for _, chunk := range chunks {
		tokens = append(tokens, chunk.Token)
	}
	return tokens
}

func newRequest(id, prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{RequestID: id, Model: "album", Prompt: prompt, Seed: 3, Stream: true}
}

// Guards against answers that a checker cannot verify, and against a resumed
// answer that differs from an uninterrupted one.
func TestResumedAnswerEqualsCompleteAnswer(t *testing.T) {
	server, addr := startEngine(t, Config{})
	want, finish := ExpectedTokens("album", "caption", 3, server.config.Lengths, 0)
	complete, err := readStream(post(t, addr, "/v1/completions", newRequest("r1", "caption")), nil)
	must.NoError(t, err)
	must.Eq(t, want, tokensOf(complete))
	must.NoError(t, VerifyAnswer("album", "caption", tokensOf(complete), finish, 0))

	request := newRequest("r1", "caption")
	request.Delivered = want[:5]
	rest, err := readStream(post(t, addr, "/v1/completions", request), nil)
	must.NoError(t, err)
	must.Eq(t, want[5:], tokensOf(rest))
	must.Eq(t, 5, rest[0].Index)
}

// Guards against a checker that accepts an answer that is truncated, lacks or
// repeats a token, or belongs to another prompt.
func TestVerifyAnswerDetectsCorruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringN(1, 30, -1).Draw(t, "prompt")
		lengths := Lengths{Mean: rapid.IntRange(4, 40).Draw(t, "mean")}
		tokens, finish := ExpectedTokens("m", prompt, rapid.Int64().Draw(t, "seed"), lengths, rapid.IntRange(0, 30).Draw(t, "limit"))
		must.NoError(t, VerifyAnswer("m", prompt, tokens, finish, len(tokens)))
		must.Eq(t, tokens, SplitTokens(strings.Join(tokens, "")))
		must.Error(t, VerifyAnswer("m", prompt+"x", tokens, finish, len(tokens)))
		at := rapid.IntRange(0, len(tokens)-1).Draw(t, "at")
		lost := append(append([]string(nil), tokens[:at]...), tokens[at+1:]...)
		must.Error(t, VerifyAnswer("m", prompt, lost, finish, len(tokens)))
		twice := append(append([]string(nil), tokens[:at+1]...), tokens[at:]...)
		must.Error(t, VerifyAnswer("m", prompt, twice, finish, len(tokens)))
	})
}

// Guards against a weight swap that changes the version of tokens already
// produced, or that the journal records differently from the stream.
func TestWeightSwapMidStream(t *testing.T) {
	server, addr := startEngine(t, Config{Lengths: Lengths{Mean: 400}})
	response := post(t, addr, "/v1/completions", newRequest("r1", "long"))
	chunks, err := readStream(response, func(chunk engine.Chunk) {
		if chunk.Index == 10 {
			order := engine.Order{Fence: 5, Kind: engine.OrderLoadVersion, Version: 8}
			must.Eq(t, http.StatusAccepted, post(t, addr, "/orders", order).StatusCode)
		}
	})
	must.NoError(t, err)
	must.Eq(t, 7, chunks[0].WeightVersion)
	must.Eq(t, 8, chunks[len(chunks)-1].WeightVersion)
	entry := server.Journal().Requests[0]
	must.Len(t, 2, entry.Segments)
	for _, segment := range entry.Segments {
		for _, chunk := range chunks[segment.From:segment.To] {
			must.Eq(t, segment.Version, chunk.WeightVersion)
		}
	}
}

// Guards against fencing numbers that are checked although the engine should
// ignore them, or ignored although it should check them.
func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		server, addr := startEngine(t, Config{IgnoreFence: ignore})
		must.Eq(t, http.StatusAccepted, post(t, addr, "/orders", engine.Order{Fence: 9, Kind: engine.OrderSetRole, Role: engine.RoleDecode}).StatusCode)
		old := post(t, addr, "/orders", engine.Order{Fence: 8, Kind: engine.OrderSetRole, Role: engine.RolePrefill})
		must.Eq(t, ignore, old.StatusCode == http.StatusAccepted)
		must.Eq(t, ignore, server.State().Role == engine.RolePrefill)
		must.Eq(t, ignore, server.State().Fence == 0)
		must.Len(t, 2, server.Journal().Orders)
	}
}

// Guards against a crash that leaves streams open, retains the loaded weights or
// the incarnation, or clears the journal.
func TestCrashPromptCrashesEngine(t *testing.T) {
	server, addr := startEngine(t, Config{Lengths: Lengths{Mean: 2000}})
	server.SetFaults(Faults{CrashPrompt: "poison", CrashDowntimeMS: 50})
	post(t, addr, "/orders", engine.Order{Kind: engine.OrderLoadVersion, Version: 8})
	eventually(t, func() bool { return server.State().Version == 8 })
	response := post(t, addr, "/v1/completions", newRequest("r1", "long"))
	go func() {
		body, _ := json.Marshal(newRequest("r2", "some poison"))
		_, _ = http.Post("http://"+addr+"/v1/completions", "application/json", bytes.NewReader(body))
	}()
	_, err := readStream(response, nil)
	must.ErrorIs(t, err, errNoDone)
	eventually(t, func() bool { return server.State().Incarnation == 2 && !server.isDown() })
	must.Eq(t, 7, server.State().Version)
	must.Eq(t, OutcomeCrashed, server.Journal().Requests[0].Outcome)
	chunks, err := readStream(post(t, addr, "/v1/completions", engine.GenerateRequest{RequestID: "r3", Model: "album", Prompt: "x", MaxTokens: 3, Stream: true}), nil)
	must.NoError(t, err)
	must.Len(t, 3, chunks)
}

// Guards against requests that continue to run after the client disconnected or
// cancelled them.
func TestCancel(t *testing.T) {
	server, addr := startEngine(t, Config{Lengths: Lengths{Mean: 100000}})
	closed := post(t, addr, "/v1/completions", newRequest("closed", "a"))
	cancelled := post(t, addr, "/v1/completions", newRequest("cancelled", "b"))
	eventually(t, func() bool { return server.State().Running == 2 })
	_ = closed.Body.Close()
	eventually(t, func() bool { return server.State().Running == 1 })
	post(t, addr, "/cancel", map[string]string{"request_id": "cancelled"})
	_, err := readStream(cancelled, nil)
	must.ErrorIs(t, err, errNoDone)
	must.Eq(t, 0, server.State().Running)
}

// Guards against a cache that grows without bound or publishes wrong events.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	server, addr := startEngine(t, Config{CacheBlocks: 2})
	for _, prompt := range []string{strings.Repeat("a", 128), strings.Repeat("b", 64)} {
		_, err := readStream(post(t, addr, "/v1/completions", newRequest("r", prompt)), nil)
		must.NoError(t, err)
	}
	response, err := http.Get("http://" + addr + "/cache/events?after=0")
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Events []engine.CacheEvent `json:"events"`
	}
	must.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	must.Len(t, 4, body.Events)
	must.Eq(t, engine.CacheEvent{Seq: 4, Prefix: engine.PrefixHashes("album", strings.Repeat("a", 64))[0]}, body.Events[3])
	must.Eq(t, 2, server.cache.lru.Len())
}

// Guards against misdirected chunks that a client cannot tell from its own, and
// against a freeze that closes connections or blocks new ones.
func TestMisdirectedChunksAndFreeze(t *testing.T) {
	server, addr := startEngine(t, Config{Lengths: Lengths{Mean: 200}})
	server.SetFaults(Faults{MisdirectedShare: 1})
	other := post(t, addr, "/v1/completions", newRequest("other", "b"))
	chunks, err := readStream(post(t, addr, "/v1/completions", newRequest("mine", "a")), nil)
	must.NoError(t, err)
	_ = other.Body.Close()
	var mine []engine.Chunk
	for _, chunk := range chunks {
		if chunk.RequestID == "mine" {
			mine = append(mine, chunk)
		}
	}
	must.Less(t, len(chunks), len(mine))
	must.NoError(t, VerifyAnswer("album", "a", tokensOf(mine), FinishStop, 0))

	server.SetFaults(Faults{})
	frozen := post(t, addr, "/v1/completions", newRequest("frozen", "c"))
	server.Freeze()
	ended := make(chan error, 1)
	go func() {
		_, err := readStream(frozen, nil)
		ended <- err
	}()
	fresh, err := readStream(post(t, addr, "/v1/completions", newRequest("fresh", "d")), nil)
	must.NoError(t, err)
	must.NoError(t, VerifyAnswer("album", "d", tokensOf(fresh), FinishStop, 0))
	must.Eq(t, 0, len(ended))
}

// Guards against a failed load that changes the version or is still reported as
// in progress, and against copies from a peer that has other weights.
func TestLoadFromPeer(t *testing.T) {
	peer, source := startEngine(t, Config{Version: 9})
	server, addr := startEngine(t, Config{})
	order := engine.Order{Kind: engine.OrderLoadVersion, Version: 9, Source: source}
	server.SetFaults(Faults{FailLoads: 1})
	post(t, addr, "/orders", order)
	eventually(t, func() bool { return server.State().LastError != "" })
	must.Eq(t, 0, server.State().Loading)
	must.Eq(t, 7, server.State().Version)

	post(t, addr, "/orders", order)
	eventually(t, func() bool { return server.State().Version == 9 })
	must.Eq(t, "", server.State().LastError)
	post(t, addr, "/orders", engine.Order{Kind: engine.OrderLoadVersion, Version: 10, Source: source})
	eventually(t, func() bool { return server.State().LastError != "" })
	must.Eq(t, 9, server.State().Version)
	must.Eq(t, 9, peer.State().Version)
}

// Guards against imported blocks that are not used as cached prefixes, and
// against the import of blocks that were computed with other weights.
func TestCacheTransfer(t *testing.T) {
	_, from := startEngine(t, Config{})
	server, to := startEngine(t, Config{})
	_, stale := startEngine(t, Config{Version: 8})
	prompt := strings.Repeat("p", 3*engine.PrefixBlockBytes)
	_, err := readStream(post(t, from, "/v1/completions", newRequest("r1", prompt)), nil)
	must.NoError(t, err)
	response := post(t, from, "/kv/export", map[string]string{"model": "album", "prompt": prompt})
	var blocks KVBlocks
	must.NoError(t, json.NewDecoder(response.Body).Decode(&blocks))
	must.Len(t, 3, blocks.Prefixes)
	must.Eq(t, http.StatusOK, post(t, to, "/kv/import", blocks).StatusCode)
	must.Eq(t, http.StatusConflict, post(t, stale, "/kv/import", blocks).StatusCode)
	_, err = readStream(post(t, to, "/v1/completions", newRequest("r2", prompt)), nil)
	must.NoError(t, err)
	must.Eq(t, 3, server.Journal().Requests[0].CachedBlocks)
}

// Guards against an engine that processes requests while it hangs or does not
// recover afterwards, and against a request for another model that runs.
func TestHangAndRefusal(t *testing.T) {
	server, addr := startEngine(t, Config{})
	server.SetFaults(Faults{Hang: true})
	done := make(chan error, 1)
	go func() {
		body, _ := json.Marshal(newRequest("r1", "a"))
		response, err := http.Post("http://"+addr+"/v1/completions", "application/json", bytes.NewReader(body))
		if err == nil {
			_, err = readStream(response, nil)
		}
		done <- err
	}()
	must.Len(t, 0, server.Journal().Requests)
	server.SetFaults(Faults{})
	must.NoError(t, <-done)

	request := newRequest("r2", "a")
	request.Model = "gallery"
	must.Eq(t, http.StatusNotFound, post(t, addr, "/v1/completions", request).StatusCode)
	must.Eq(t, OutcomeRefused, server.Journal().Requests[1].Outcome)
}

// Guards against an engine that still says that it is leaving after it has restarted.
func TestRestartedEngineIsNotLeaving(t *testing.T) {
	server, addr := startEngine(t, Config{})
	server.SetFaults(Faults{Leaving: true})
	says := func() string {
		response, err := http.Get("http://" + addr + "/state")
		if err != nil {
			return "down"
		}
		must.NoError(t, response.Body.Close())
		return response.Header.Get(platform.HeaderLeaving)
	}
	must.EqOp(t, platform.ValueLeaving, says())
	server.Crash(time.Millisecond)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return says() == "" }), wait.Timeout(testTimeout), wait.Gap(5*time.Millisecond)))
}
