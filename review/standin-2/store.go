//go:build review

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// partitions is the number of partitions of each topic, as in the deployments' settings.
const partitions = 8

// appendTime is the time that the store takes for an append.
const appendTime = 4 * time.Millisecond

// listingBytes bounds a page of the newest records.
const listingBytes = 1 << 20

// store is a stand-in of the platform's log store. Each host reaches it at an address of
// its own, so that the connections of one host can be told from those of the others.
type store struct {
	log *memlog.Store

	mu    sync.Mutex
	conns map[string]map[*storeConn]bool // by host

	// limit is the number of bytes beyond which appends are answered 507; 0 if there is none.
	limit  int64
	sizes  map[storedKey]int64 // of the newest record of each key, which is retained
	stored int64
}

// storedKey is the key of a record that is retained.
type storedKey struct {
	logstore.Partition
	key string
}

// storeLimit is the number of bytes that the platform's store takes in total.
const storeLimit = 400 << 20

// hold counts records as stored. It reports false if the store is full then. Only the newest
// record of each key counts.
func (s *store) hold(p logstore.Partition, records []logstore.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == 0 {
		return true
	}
	if len(records) > 0 && s.stored >= s.limit {
		return false
	}
	for _, r := range records {
		k := storedKey{p, r.Key}
		s.stored += int64(len(r.Key)+len(r.Value)) - s.sizes[k]
		s.sizes[k] = int64(len(r.Key) + len(r.Value))
	}
	return true
}

// storedBytes returns the bytes of the records of a topic whose keys begin with a prefix.
func (s *store) storedBytes(topic, prefix string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	for k, size := range s.sizes {
		if k.Topic == topic && strings.HasPrefix(k.key, prefix) {
			total += size
		}
	}
	return total
}

// storeConn is one connection of a host to the store.
type storeConn struct {
	host   string
	silent atomic.Bool // nothing is answered any more, and the connection stays open
	// polling is the topic and partition of the long poll that waits on the connection.
	polling atomic.Pointer[logstore.Partition]
}

type storeConnKey struct{}

func newStore() *store {
	return &store{log: memlog.New(partitions), conns: make(map[string]map[*storeConn]bool), sizes: make(map[storedKey]int64)}
}

// listen serves the store for one host and returns its address.
func (s *store) listen(host string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: s, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			c := &storeConn{host: host}
			s.mu.Lock()
			if s.conns[host] == nil {
				s.conns[host] = make(map[*storeConn]bool)
			}
			s.conns[host][c] = true
			s.mu.Unlock()
			return context.WithValue(ctx, storeConnKey{}, c)
		},
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// silence makes the connections of a host go silent on which a long poll of the topic
// waits. It returns their number and that of all connections which the host ever opened.
func (s *store) silence(host, topic string) (silenced, opened int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns[host] {
		opened++
		if p := c.polling.Load(); p != nil && p.Topic == topic {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced, opened
}

// ServeHTTP implements the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(storeConnKey{}).(*storeConn)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if conn.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	p := logstore.Partition{Topic: strings.TrimPrefix(query.Get("topic"), "keyed."), Number: number}
	status, answer := http.StatusOK, []byte(nil)
	switch r.URL.Path {
	case "/v1/log-append":
		status, answer = s.append(r.Context(), p, body, r)
	case "/v1/log-read":
		conn.polling.Store(&p)
		status, answer = s.read(r.Context(), p, r)
		conn.polling.Store(nil)
	case "/v1/log-newest":
		status, answer = s.newest(r.Context(), p, query.Get("after"))
	case "/v1/log-join":
		status, answer = s.join(r.Context(), body)
	case "/v1/log-owners":
		status, answer = s.owners(r.Context(), query.Get("group"))
	case "/v1/log-leave":
		var m struct{ Group, Member string }
		_ = json.Unmarshal(body, &m)
		_ = s.log.Leave(r.Context(), m.Group, m.Member)
	default:
		status = http.StatusNotFound
	}
	if conn.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// failure returns the status and body for an error of the log.
func failure(err error) (int, []byte) {
	var sequence *logstore.SequenceError
	var deleted *logstore.DeletedError
	switch {
	case errors.As(err, &deleted):
		return http.StatusGone, fmt.Appendf(nil, `{"first":%d}`, deleted.First)
	case errors.Is(err, logstore.ErrFenced):
		return http.StatusConflict, []byte(`{"why":"fenced"}`)
	case errors.As(err, &sequence):
		return http.StatusConflict, fmt.Appendf(nil, `{"why":"seq","seq":%d}`, sequence.Expected)
	}
	return http.StatusServiceUnavailable, nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) append(ctx context.Context, p logstore.Partition, body []byte, r *http.Request) (int, []byte) {
	var records []logstore.Record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || n > len(body) || int(body[0]) > n-1 {
			return http.StatusBadRequest, nil
		}
		key := 1 + int(body[0])
		records = append(records, logstore.Record{Key: string(body[1:key]), Value: append([]byte(nil), body[key:n]...)})
		body = body[n:]
	}
	var writer *logstore.Writer
	if name := r.URL.Query().Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(r.URL.Query().Get("seq"), 10, 64)
		writer = &logstore.Writer{Name: name, Epoch: epoch, Sequence: sequence}
	}
	time.Sleep(appendTime)
	if !s.hold(p, records) {
		return http.StatusInsufficientStorage, nil
	}
	end, err := s.log.Append(ctx, p, records, writer)
	if err != nil {
		return failure(err)
	}
	return http.StatusOK, encode(map[string]int64{"offset": end - int64(len(records)), "end": end})
}

func (s *store) read(ctx context.Context, p logstore.Partition, r *http.Request) (int, []byte) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	kb, _ := strconv.Atoi(r.URL.Query().Get("max_kb"))
	page, err := s.log.Read(ctx, p, from, max(kb, 1)<<10, time.Duration(wait)*time.Millisecond)
	if err != nil {
		return failure(err)
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(page.End))
	data = binary.BigEndian.AppendUint64(data, uint64(page.First))
	for _, record := range page.Records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.Key)+len(record.Value)))
		data = append(data, byte(len(record.Key)))
		data = append(data, record.Key...)
		data = append(data, record.Value...)
	}
	return http.StatusOK, data
}

func (s *store) newest(ctx context.Context, p logstore.Partition, after string) (int, []byte) {
	listing, err := s.log.ListNewest(ctx, p, after)
	if err != nil {
		return failure(err)
	}
	items, size := make([]map[string]any, 0, len(listing.Records)), 0
	for _, record := range listing.Records {
		if size += len(record.Key) + len(record.Value); len(items) > 0 && size > listingBytes {
			listing.More = true
			break
		}
		items = append(items, map[string]any{"key": record.Key, "value": base64.StdEncoding.EncodeToString(record.Value), "offset": record.Offset})
	}
	return http.StatusOK, encode(map[string]any{"items": items, "more": listing.More, "end": listing.End})
}

func (s *store) join(ctx context.Context, body []byte) (int, []byte) {
	var m struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int64
	}
	if json.Unmarshal(body, &m) != nil || len(m.Topics) != 1 {
		return http.StatusBadRequest, nil
	}
	a, err := s.log.Join(ctx, logstore.Membership{Group: m.Group, Member: m.Member, TTL: time.Duration(m.TTL) * time.Millisecond, Generation: m.Generation})
	if err != nil {
		return failure(err)
	}
	rows := make([][]any, 0, len(a.Partitions))
	for _, p := range a.Partitions {
		rows = append(rows, []any{m.Topics[0], p, 0})
	}
	return http.StatusOK, encode(map[string]any{"generation": a.Generation, "ttl_ms": m.TTL, "parts": rows})
}

func (s *store) owners(ctx context.Context, group string) (int, []byte) {
	owners, err := s.log.Owners(ctx, group, "work")
	if err != nil {
		return failure(err)
	}
	rows := make([][]any, 0, len(owners))
	for p, member := range owners {
		rows = append(rows, []any{"keyed.work", p, member, 0})
	}
	return http.StatusOK, encode(map[string]any{"parts": rows})
}

// put writes a record as the operator or a server does. Its return is the acknowledgement.
func (s *store) put(topic, key string, value any) {
	time.Sleep(appendTime)
	_, err := s.log.Append(context.Background(), logstore.Partition{Topic: topic}, []logstore.Record{{Key: key, Value: encode(value)}}, nil)
	if err != nil {
		panic(err)
	}
}
