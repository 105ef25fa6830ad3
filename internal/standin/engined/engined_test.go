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
)

const enough = 20 * time.Second

func start(t *testing.T, config Config) (*Server, string) {
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

var errBroken = errors.New("stream ended without DONE")

// readStream returns the chunks of a stream, and errBroken when it is cut.
// It calls each after every chunk.
func readStream(response *http.Response, each func(engine.Chunk)) ([]engine.Chunk, error) {
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
		if each != nil {
			each(chunk)
		}
	}
	return chunks, errBroken
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(enough), wait.Gap(5*time.Millisecond)))
}

func texts(chunks []engine.Chunk) (tokens []string) {
	for _, chunk := range chunks {
		tokens = append(tokens, chunk.Token)
	}
	return tokens
}

func ask(id, prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{RequestID: id, Model: "album", Prompt: prompt, Seed: 3, Stream: true}
}

// Guards against answers that a checker cannot verify, and against a resumed
// answer that differs from an undisturbed one.
func TestResumedAnswerEqualsTheWholeOne(t *testing.T) {
	server, addr := start(t, Config{})
	want, finish := ExpectedTokens("album", "caption", 3, server.config.Lengths, 0)
	whole, err := readStream(post(t, addr, "/v1/completions", ask("r1", "caption")), nil)
	must.NoError(t, err)
	must.Eq(t, want, texts(whole))
	must.NoError(t, VerifyAnswer("album", "caption", texts(whole), finish, 0))

	request := ask("r1", "caption")
	request.Delivered = want[:5]
	rest, err := readStream(post(t, addr, "/v1/completions", request), nil)
	must.NoError(t, err)
	must.Eq(t, want[5:], texts(rest))
	must.Eq(t, 5, rest[0].Index)
}

// Guards against a checker that accepts lost, repeated, cut or foreign tokens.
func TestVerifyAnswerFindsEveryDamage(t *testing.T) {
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

// Guards against a swap that changes the version of tokens already produced,
// or that the journal records otherwise than the stream named it.
func TestSwapChangesTheVersionInMidStream(t *testing.T) {
	server, addr := start(t, Config{Lengths: Lengths{Mean: 400}})
	response := post(t, addr, "/v1/completions", ask("r1", "long"))
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

// Guards against fencing that is checked when it should be ignored, or the
// other way round.
func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		server, addr := start(t, Config{IgnoreFence: ignore})
		must.Eq(t, http.StatusAccepted, post(t, addr, "/orders", engine.Order{Fence: 9, Kind: engine.OrderSetRole, Role: engine.RoleDecode}).StatusCode)
		old := post(t, addr, "/orders", engine.Order{Fence: 8, Kind: engine.OrderSetRole, Role: engine.RolePrefill})
		must.Eq(t, ignore, old.StatusCode == http.StatusAccepted)
		must.Eq(t, ignore, server.State().Role == engine.RolePrefill)
		must.Eq(t, ignore, server.State().Fence == 0)
		must.Len(t, 2, server.Journal().Orders)
	}
}

// Guards against a crash that leaves streams open, keeps loaded weights or the
// old incarnation, or forgets the journal.
func TestPoisonCrashesTheEngine(t *testing.T) {
	server, addr := start(t, Config{Lengths: Lengths{Mean: 2000}})
	server.SetFaults(Faults{CrashPrompt: "poison", CrashDowntimeMS: 50})
	post(t, addr, "/orders", engine.Order{Kind: engine.OrderLoadVersion, Version: 8})
	eventually(t, func() bool { return server.State().Version == 8 })
	response := post(t, addr, "/v1/completions", ask("r1", "long"))
	go func() {
		body, _ := json.Marshal(ask("r2", "some poison"))
		_, _ = http.Post("http://"+addr+"/v1/completions", "application/json", bytes.NewReader(body))
	}()
	_, err := readStream(response, nil)
	must.ErrorIs(t, err, errBroken)
	eventually(t, func() bool { return server.State().Incarnation == 2 && !server.isDown() })
	must.Eq(t, 7, server.State().Version)
	must.Eq(t, OutcomeCrashed, server.Journal().Requests[0].Outcome)
	chunks, err := readStream(post(t, addr, "/v1/completions", engine.GenerateRequest{RequestID: "r3", Model: "album", Prompt: "x", MaxTokens: 3, Stream: true}), nil)
	must.NoError(t, err)
	must.Len(t, 3, chunks)
}

// Guards against requests that go on in the engine after their caller left.
func TestCancel(t *testing.T) {
	server, addr := start(t, Config{Lengths: Lengths{Mean: 100000}})
	closed := post(t, addr, "/v1/completions", ask("closed", "a"))
	ordered := post(t, addr, "/v1/completions", ask("ordered", "b"))
	eventually(t, func() bool { return server.State().Running == 2 })
	_ = closed.Body.Close()
	eventually(t, func() bool { return server.State().Running == 1 })
	post(t, addr, "/cancel", map[string]string{"request_id": "ordered"})
	_, err := readStream(ordered, nil)
	must.ErrorIs(t, err, errBroken)
	must.Eq(t, 0, server.State().Running)
}

// Guards against a cache that grows without limit or publishes wrong events.
func TestPrefixCacheEvictsTheOldest(t *testing.T) {
	server, addr := start(t, Config{CacheBlocks: 2})
	for _, prompt := range []string{strings.Repeat("a", 128), strings.Repeat("b", 64)} {
		_, err := readStream(post(t, addr, "/v1/completions", ask("r", prompt)), nil)
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
	must.Eq(t, 2, server.cache.order.Len())
}

// Guards against crossed chunks that cannot be told from right ones, and
// against a freeze that closes connections or blocks new ones.
func TestCrossedChunksAndFreeze(t *testing.T) {
	server, addr := start(t, Config{Lengths: Lengths{Mean: 200}})
	server.SetFaults(Faults{MisdirectedShare: 1})
	other := post(t, addr, "/v1/completions", ask("other", "b"))
	chunks, err := readStream(post(t, addr, "/v1/completions", ask("mine", "a")), nil)
	must.NoError(t, err)
	_ = other.Body.Close()
	var mine []engine.Chunk
	for _, chunk := range chunks {
		if chunk.RequestID == "mine" {
			mine = append(mine, chunk)
		}
	}
	must.Less(t, len(chunks), len(mine))
	must.NoError(t, VerifyAnswer("album", "a", texts(mine), FinishStop, 0))

	server.SetFaults(Faults{})
	frozen := post(t, addr, "/v1/completions", ask("frozen", "c"))
	server.Freeze()
	ended := make(chan error, 1)
	go func() {
		_, err := readStream(frozen, nil)
		ended <- err
	}()
	fresh, err := readStream(post(t, addr, "/v1/completions", ask("fresh", "d")), nil)
	must.NoError(t, err)
	must.NoError(t, VerifyAnswer("album", "d", texts(fresh), FinishStop, 0))
	must.Eq(t, 0, len(ended))
}

// Guards against a failed load that changes the version or stays in state
// "loading", and against copies from a peer that has other weights.
func TestLoadFromPeer(t *testing.T) {
	peer, source := start(t, Config{Version: 9})
	server, addr := start(t, Config{})
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

// Guards against imported blocks that do not shorten the prefill, and against
// blocks of other weights that are taken.
func TestCacheTransfer(t *testing.T) {
	_, from := start(t, Config{})
	server, to := start(t, Config{})
	_, stale := start(t, Config{Version: 8})
	prompt := strings.Repeat("p", 3*engine.PrefixBlockBytes)
	_, err := readStream(post(t, from, "/v1/completions", ask("r1", prompt)), nil)
	must.NoError(t, err)
	response := post(t, from, "/kv/export", map[string]string{"model": "album", "prompt": prompt})
	var blocks KVBlocks
	must.NoError(t, json.NewDecoder(response.Body).Decode(&blocks))
	must.Len(t, 3, blocks.Prefixes)
	must.Eq(t, http.StatusOK, post(t, to, "/kv/import", blocks).StatusCode)
	must.Eq(t, http.StatusConflict, post(t, stale, "/kv/import", blocks).StatusCode)
	_, err = readStream(post(t, to, "/v1/completions", ask("r2", prompt)), nil)
	must.NoError(t, err)
	must.Eq(t, 3, server.Journal().Requests[0].CachedBlocks)
}

// Guards against an engine that hangs and still produces, or that does not
// recover, and against a request for another model that counts as run.
func TestHangAndRefusal(t *testing.T) {
	server, addr := start(t, Config{})
	server.SetFaults(Faults{Hang: true})
	done := make(chan error, 1)
	go func() {
		body, _ := json.Marshal(ask("r1", "a"))
		response, err := http.Post("http://"+addr+"/v1/completions", "application/json", bytes.NewReader(body))
		if err == nil {
			_, err = readStream(response, nil)
		}
		done <- err
	}()
	must.Len(t, 0, server.Journal().Requests)
	server.SetFaults(Faults{})
	must.NoError(t, <-done)

	request := ask("r2", "a")
	request.Model = "gallery"
	must.Eq(t, http.StatusNotFound, post(t, addr, "/v1/completions", request).StatusCode)
	must.Eq(t, OutcomeRefused, server.Journal().Requests[1].Outcome)
}
