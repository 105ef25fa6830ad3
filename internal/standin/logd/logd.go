// Package logd is a stand-in for the platform's append-only log service. It
// implements the wire format of package platform and stores all data in memory.
package logd

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin"
)

// Values of Faults.Outage.
const (
	OutageNone   = ""
	OutageClosed = "closed" // connections are closed without a response
	Outage503    = "503"    // requests get status 503
)

// defaultPageSize is the maximum number of records of a read that does not
// specify one.
const defaultPageSize = 1000

// Config holds the parameters of the log.
type Config struct {
	Token            string
	AppendsPerSecond float64       // for all clients together; 0 means no limit
	RetainAge        time.Duration // maximum age of records; 0 means no limit
	RetainCount      int           // maximum number of records per stream; 0 means no limit
}

// Faults are the injected faults, which can be changed at run time.
type Faults struct {
	Outage  string `json:"outage"`   // OutageNone, OutageClosed or Outage503
	DelayMS int    `json:"delay_ms"` // added to each append and read
	// LoseResponses is the number of upcoming appends that take effect but whose
	// connection is closed without a response. A negative number means all.
	LoseResponses int `json:"lose_answers"`
}

// Server is the log service.
type Server struct {
	config  Config
	limiter *rate.Limiter
	faults  standin.Faults[Faults]
	mux     *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	appends int64
	refused int64
}

type stream struct {
	records  []platform.Record
	earliest int64         // offset of the first retained record
	end      int64         // offset of the next record
	appended chan struct{} // closed by the next append
}

// New returns an empty log.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux(), streams: make(map[string]*stream)}
	if config.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(config.AppendsPerSecond), max(1, int(config.AppendsPerSecond/10)))
	}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.handleAppend)
	s.mux.HandleFunc("GET /streams/{stream}/records", s.handleRead)
	s.mux.Handle("POST /faults", &s.faults)
	return s
}

// Handler returns the HTTP handler of the log.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Counts returns the number of appends that were accepted, and the number that
// the rate limit refused.
func (s *Server) Counts() (appends, refused int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.refused
}

// Records returns the retained records of a stream.
func (s *Server) Records(name string) []platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	return append([]platform.Record(nil), st.records...)
}

// admit applies the injected delay and outage and checks the token. It reports
// whether the request may proceed, and writes the response if not.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := s.faults.Get()
	if faults.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	switch faults.Outage {
	case OutageClosed:
		standin.Abort()
	case Outage503:
		http.Error(w, "log is not available", http.StatusServiceUnavailable)
		return false
	}
	return standin.Authorized(w, r, s.config.Token)
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var batch [][]byte
	if !s.admit(w, r) || !standin.ReadJSON(w, r, &batch) {
		return
	}
	if s.limiter != nil && !s.limiter.Allow() {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset := s.Append(r.PathValue("stream"), batch)
	if s.consumeLostResponse() {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

// Append adds records without applying the rate limit or the faults, and returns
// the offset of the first.
func (s *Server) Append(name string, batch [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	st := s.streamLocked(name)
	first := st.end
	now := time.Now()
	for _, data := range batch {
		st.records = append(st.records, platform.Record{Offset: st.end, Time: now, Data: data})
		st.end++
	}
	s.applyRetentionLocked(st, now)
	close(st.appended)
	st.appended = make(chan struct{})
	return first
}

// consumeLostResponse reports whether the response of the current append is to be
// lost, and decrements Faults.LoseResponses if it is positive.
func (s *Server) consumeLostResponse() bool {
	lose := false
	s.faults.Update(func(f *Faults) {
		lose = f.LoseResponses != 0
		if f.LoseResponses > 0 {
			f.LoseResponses--
		}
	})
	return lose
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	query := r.URL.Query()
	offset, _ := strconv.ParseInt(query.Get("offset"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	limit, _ := strconv.Atoi(query.Get("max"))
	if limit <= 0 {
		limit = defaultPageSize
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		page, appended := s.page(r.PathValue("stream"), offset, limit)
		if len(page.Records) > 0 || waitMS <= 0 {
			s.writePage(w, page)
			return
		}
		select {
		case <-appended:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writePage writes the response of a read, unless an outage began while the read
// was waiting.
func (s *Server) writePage(w http.ResponseWriter, page platform.Page) {
	if s.faults.Get().Outage != OutageNone {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, page)
}

// page returns up to limit records from offset on, and a channel that the next
// append to the stream closes.
func (s *Server) page(name string, offset int64, limit int) (platform.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	s.applyRetentionLocked(st, time.Now())
	offset = max(offset, st.earliest)
	page := platform.Page{Records: []platform.Record{}, Earliest: st.earliest, Next: offset, End: st.end}
	if offset < st.end {
		from := int(offset - st.earliest)
		to := min(len(st.records), from+limit)
		page.Records = append(page.Records, st.records[from:to]...)
		page.Next = offset + int64(to-from)
	}
	return page, st.appended
}

func (s *Server) streamLocked(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// applyRetentionLocked removes the records that exceed the maximum age or number.
func (s *Server) applyRetentionLocked(st *stream, now time.Time) {
	drop := 0
	if s.config.RetainCount > 0 {
		drop = max(0, len(st.records)-s.config.RetainCount)
	}
	for s.config.RetainAge > 0 && drop < len(st.records) && now.Sub(st.records[drop].Time) > s.config.RetainAge {
		drop++
	}
	if drop > 0 {
		st.records = append([]platform.Record(nil), st.records[drop:]...)
		st.earliest += int64(drop)
	}
}
