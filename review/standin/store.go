//go:build review

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Parameters of the store, as in the site file of asam-proofs.
const (
	storePartitions = 8
	appendTime      = 4 * time.Millisecond
	appendRate      = 20e6 // bytes a second of one partition
	readRate        = 80e6 // bytes a second of all reads together
	listingRecords  = 500
	listingBytes    = 1 << 20
)

// store is a stand-in for the platform's metadata store. It keeps everything in memory
// and injects no faults.
type store struct {
	reading    sync.Mutex // held while a read takes its time
	mu         sync.Mutex
	partitions map[partitionID]*logPartition
	groups     map[string]*consumerGroup
}

type partitionID struct {
	topic string
	part  int
}

type logRecord struct {
	raw    []byte // what follows the four bytes of length
	offset int64
}

func (r logRecord) keyValue() (string, []byte) {
	if len(r.raw) == 0 || int(r.raw[0]) > len(r.raw)-1 {
		return "", nil
	}
	n := 1 + int(r.raw[0])
	return string(r.raw[1:n]), r.raw[n:]
}

type logPartition struct {
	appending sync.Mutex // held while an append takes its time
	records   []logRecord
	newest    map[string]logRecord
	producers map[string]*producerState
	changed   chan struct{}
}

type producerState struct {
	epoch, seq int64
	appended   bool
	answers    map[int64]map[string]int64 // responses to the last five appends, by sequence number
}

func newStore() *store {
	return &store{partitions: make(map[partitionID]*logPartition), groups: make(map[string]*consumerGroup)}
}

// partition returns a partition and creates it if absent. The caller holds mu.
func (s *store) partition(id partitionID) *logPartition {
	p := s.partitions[id]
	if p == nil {
		p = &logPartition{newest: make(map[string]logRecord), producers: make(map[string]*producerState), changed: make(chan struct{})}
		s.partitions[id] = p
	}
	return p
}

// put writes a record for an operator, a trainer or a backend server.
func (s *store) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(partitionID{"keyed." + topic, 0}).add([][]byte{raw})
}

// add appends records and wakes waiting reads. The caller holds the store's mu.
func (p *logPartition) add(raws [][]byte) {
	for _, raw := range raws {
		r := logRecord{raw: raw, offset: int64(len(p.records))}
		p.records = append(p.records, r)
		if key, value := r.keyValue(); len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = r
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	id := partitionID{query.Get("topic"), part}
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, id, body)
	case "/v1/log-read":
		s.serveRead(r.Context(), w, r, id)
	case "/v1/log-newest":
		s.serveNewest(w, id, query.Get("after"))
	case "/v1/log-join":
		s.serveJoin(w, body)
	case "/v1/log-leave":
		var m struct{ Group, Member string }
		_ = json.Unmarshal(body, &m)
		s.leave(m.Group, m.Member)
		writeJSON(w, http.StatusOK, map[string]any{})
	case "/v1/log-owners":
		s.serveOwners(w, query.Get("group"))
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, id partitionID, body []byte) {
	if id.topic == "keyed.op" || id.topic == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	var raws [][]byte
	rest := body
	for len(rest) >= 4 {
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 {
			break
		}
		raws = append(raws, slices.Clone(rest[4:4+n]))
		rest = rest[4+n:]
	}
	if len(rest) > 0 {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	p := s.partition(id)
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/appendRate*float64(time.Second)))
	status, answer := s.append(p, r, raws)
	writeJSON(w, status, answer)
}

func (s *store) append(p *logPartition, r *http.Request, raws [][]byte) (int, any) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var producer *producerState
	var seq int64
	if name := query.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(query.Get("seq"), 10, 64)
		producer = p.producers[name]
		if producer == nil || epoch > producer.epoch {
			producer = &producerState{epoch: epoch, answers: make(map[int64]map[string]int64)}
			p.producers[name] = producer
		}
		switch {
		case epoch < producer.epoch:
			return http.StatusConflict, map[string]any{"why": "fenced"}
		case len(raws) == 0:
			return http.StatusOK, map[string]int64{"offset": int64(len(p.records)), "end": int64(len(p.records))}
		}
		if answer := producer.answers[seq]; answer != nil {
			return http.StatusOK, answer
		}
		if producer.appended && seq != producer.seq+1 {
			return http.StatusConflict, map[string]any{"why": "seq", "seq": producer.seq + 1}
		}
	}
	offset := int64(len(p.records))
	p.add(raws)
	answer := map[string]int64{"offset": offset, "end": int64(len(p.records))}
	if producer != nil {
		producer.appended, producer.seq = true, seq
		producer.answers[seq] = answer
		delete(producer.answers, seq-5)
	}
	return http.StatusOK, answer
}

func (s *store) serveRead(ctx context.Context, w http.ResponseWriter, r *http.Request, id partitionID) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit := 1024
	if kb, err := strconv.Atoi(query.Get("max_kb")); err == nil && kb > 0 {
		limit = kb
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(id)
		end, changed := int64(len(p.records)), p.changed
		var page []byte
		for i := max(from, 0); i < end; i++ {
			raw := p.records[i].raw
			if len(page) > 0 && len(page)+len(raw) > limit<<10 {
				break
			}
			page = binary.BigEndian.AppendUint32(page, uint32(len(raw)))
			page = append(page, raw...)
		}
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(page) > 0 || left <= 0 {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, 0)
			s.awaitRead(len(page))
			_, _ = w.Write(append(head, page...))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(left):
		}
	}
}

// awaitRead waits for the time that reading some bytes takes, after other reads.
func (s *store) awaitRead(size int) {
	if size == 0 {
		return
	}
	s.reading.Lock()
	defer s.reading.Unlock()
	time.Sleep(time.Duration(float64(size) / readRate * float64(time.Second)))
}

func (s *store) serveNewest(w http.ResponseWriter, id partitionID, after string) {
	s.mu.Lock()
	p := s.partition(id)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := make([]map[string]any, 0, len(keys)), 0, false
	for _, key := range keys {
		_, value := p.newest[key].keyValue()
		if len(items) == listingRecords || size > listingBytes {
			more = true
			break
		}
		size += len(key) + len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key].offset})
	}
	end := len(p.records)
	s.mu.Unlock()
	s.awaitRead(size)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

// consumerGroup assigns the partitions of one topic to members. A partition changes its
// holder only after the former one has joined with the present generation, has left, or
// has been silent for its TTL.
type consumerGroup struct {
	generation int64
	topic      string
	members    map[string]*groupMember
	target     map[int]string
	holder     map[int]string
}

type groupMember struct {
	ttl      time.Duration
	lastJoin time.Time
}

func (s *store) serveJoin(w http.ResponseWriter, body []byte) {
	var m struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int64
	}
	if json.Unmarshal(body, &m) != nil || len(m.Topics) != 1 {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[m.Group]
	if g == nil {
		g = &consumerGroup{topic: m.Topics[0], members: make(map[string]*groupMember), target: make(map[int]string), holder: make(map[int]string)}
		s.groups[m.Group] = g
	}
	g.expire(time.Now())
	if g.members[m.Member] == nil {
		g.members[m.Member] = &groupMember{}
		g.rebalance()
	}
	*g.members[m.Member] = groupMember{ttl: time.Duration(m.TTL) * time.Millisecond, lastJoin: time.Now()}
	rows := make([][]any, 0, storePartitions)
	for part := range storePartitions {
		if g.holder[part] == m.Member && g.target[part] != m.Member && m.Generation >= g.generation {
			delete(g.holder, part)
		}
		if g.holder[part] == "" {
			g.holder[part] = g.target[part]
		}
		if g.holder[part] == m.Member && g.target[part] == m.Member {
			rows = append(rows, []any{g.topic, part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(group, member string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil && g.members[member] != nil {
		g.remove(member)
		g.rebalance()
	}
}

func (g *consumerGroup) remove(member string) {
	delete(g.members, member)
	for part, holder := range g.holder {
		if holder == member {
			delete(g.holder, part)
		}
	}
}

func (g *consumerGroup) expire(now time.Time) {
	expired := false
	for name, m := range g.members {
		if now.Sub(m.lastJoin) > m.ttl {
			g.remove(name)
			expired = true
		}
	}
	if expired {
		g.rebalance()
	}
}

// rebalance distributes the partitions evenly and moves as few as possible.
func (g *consumerGroup) rebalance() {
	g.generation++
	if len(g.members) == 0 {
		g.target = make(map[int]string)
		return
	}
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	limit := (storePartitions + len(names) - 1) / len(names)
	count := make(map[string]int)
	for part := range storePartitions {
		if name := g.target[part]; g.members[name] == nil || count[name] >= limit {
			delete(g.target, part)
		} else {
			count[name]++
		}
	}
	for part := range storePartitions {
		if g.target[part] != "" {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		g.target[part] = least
		count[least]++
	}
}

func (s *store) serveOwners(w http.ResponseWriter, group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([][]any, 0, storePartitions)
	if g := s.groups[group]; g != nil {
		g.expire(time.Now())
		for part, member := range g.holder {
			rows = append(rows, []any{g.topic, part, member, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}
