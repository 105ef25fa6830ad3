// Package logd is a stand-in for the platform's append-only log service. It
// speaks the wire format of package platform and keeps everything in memory.
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

// Kinds of outages.
const (
	OutageNone   = ""
	OutageClosed = "closed" // connections are dropped without an answer
	Outage503    = "503"
)

// defaultPage is the largest number of records of one read when none is asked for.
const defaultPage = 1000

// Config sets the limits of the log.
type Config struct {
	Token            string
	AppendsPerSecond float64       // for all users together; 0 means no limit
	RetainAge        time.Duration // 0 keeps records whatever their age
	RetainCount      int           // per stream; 0 keeps any number
}

// Faults are the faults that can be set at run time.
type Faults struct {
	Outage  string `json:"outage"`   // OutageNone, OutageClosed or Outage503
	DelayMS int    `json:"delay_ms"` // added to each append and read
	// LoseAnswers is the number of coming appends that take effect and whose
	// connection is then dropped. A negative number means all of them.
	LoseAnswers int `json:"lose_answers"`
}

// Server is the stand-in.
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
	earliest int64
	end      int64
	grown    chan struct{} // closed at the next append
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

// Handler returns the HTTP interface of the log.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Counts returns how many appends were accepted and refused for the rate limit.
func (s *Server) Counts() (appends, refused int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.refused
}

// Records returns the records of a stream that are still kept.
func (s *Server) Records(name string) []platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	return append([]platform.Record(nil), st.records...)
}

// admit applies the outage, the delay and the token check.
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
	if s.loseAnswer() {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

// Append adds records directly, past the limit and the faults, and returns
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
	s.retainLocked(st, now)
	close(st.grown)
	st.grown = make(chan struct{})
	return first
}

func (s *Server) loseAnswer() bool {
	lose := false
	s.faults.Update(func(f *Faults) {
		lose = f.LoseAnswers != 0
		if f.LoseAnswers > 0 {
			f.LoseAnswers--
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
		limit = defaultPage
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		page, grown := s.page(r.PathValue("stream"), offset, limit)
		if len(page.Records) > 0 || waitMS <= 0 {
			s.answerRead(w, page)
			return
		}
		select {
		case <-grown:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// answerRead applies an outage that began while a read waited.
func (s *Server) answerRead(w http.ResponseWriter, page platform.Page) {
	if s.faults.Get().Outage != OutageNone {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, page)
}

func (s *Server) page(name string, offset int64, limit int) (platform.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	s.retainLocked(st, time.Now())
	offset = max(offset, st.earliest)
	page := platform.Page{Records: []platform.Record{}, Earliest: st.earliest, Next: offset, End: st.end}
	if offset < st.end {
		from := int(offset - st.earliest)
		to := min(len(st.records), from+limit)
		page.Records = append(page.Records, st.records[from:to]...)
		page.Next = offset + int64(to-from)
	}
	return page, st.grown
}

func (s *Server) streamLocked(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// retainLocked drops records that are too old or too many.
func (s *Server) retainLocked(st *stream, now time.Time) {
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
