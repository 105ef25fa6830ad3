// Package memlog is a log store in memory for tests. It keeps the promises of
// the platform's store and injects its troubles: refused calls, lost answers,
// appends carried out late, deleted records and partitions dealt anew.
package memlog

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Call names a kind of call in faults.
type Call string

// Kinds of calls.
const (
	CallAppend Call = "append"
	CallRead   Call = "read"
	CallNewest Call = "newest"
	CallJoin   Call = "join"
	CallLeave  Call = "leave"
	CallOwners Call = "owners"
)

// Fault says what happens to one call.
type Fault int

// Faults of calls.
const (
	None        Fault = iota
	Refuse            // the store does nothing and says so
	LoseAnswer        // the call takes effect; its answer is lost
	DropRequest       // the call has no effect and no answer
	Delay             // no answer; the call takes effect when Release is called
)

// Store is a log store in memory.
type Store struct {
	mu         sync.Mutex
	parts      map[logstore.Partition]*part
	groups     map[string]*group
	fault      func(Call, logstore.Partition) Fault
	late       []func()
	pageSize   int
	partitions int
	now        func() time.Time
}

type part struct {
	records []logstore.Record
	first   int64
	end     int64
	writers map[string]*writer
	changed chan struct{}
}

type writer struct {
	epoch, sequence int64
	started         bool
	answers         map[int64]int64 // end by sequence number
}

type group struct {
	generation int64
	members    map[string]time.Time // end of the time to live
	owners     map[int]string
}

// New returns an empty store whose topics have a number of partitions.
func New(partitions int) *Store {
	return &Store{
		parts: make(map[logstore.Partition]*part), groups: make(map[string]*group),
		pageSize: 500, partitions: partitions, now: time.Now,
	}
}

// SetFault makes f decide what happens to each call; nil ends all faults.
func (s *Store) SetFault(f func(Call, logstore.Partition) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetPageSize sets the number of records in a page of a listing.
func (s *Store) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// ReleaseDelayed carries out the calls that were delayed.
func (s *Store) ReleaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.late {
		call()
	}
	s.late = nil
}

// Delete deletes the records of a partition; the newest of each key stay listed.
func (s *Store) Delete(p logstore.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(p).first = s.part(p).end
}

// Reassign takes all partitions of a group from their members.
func (s *Store) Reassign(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.owners = make(map[int]string)
		g.generation++
	}
}

func (s *Store) part(p logstore.Partition) *part {
	if s.parts[p] == nil {
		s.parts[p] = &part{writers: make(map[string]*writer), changed: make(chan struct{})}
	}
	return s.parts[p]
}

func (s *Store) faultOf(c Call, p logstore.Partition) Fault {
	if s.fault == nil {
		return None
	}
	return s.fault(c, p)
}

// Append implements logstore.Store.
func (s *Store) Append(_ context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records = slices.Clone(records)
	var copied *logstore.Writer
	if w != nil {
		value := *w
		copied = &value
	}
	switch s.faultOf(CallAppend, p) {
	case Refuse:
		return 0, logstore.ErrUnavailable
	case DropRequest:
		return 0, logstore.ErrOutcomeUnknown
	case Delay:
		s.late = append(s.late, func() { _, _ = s.append(p, records, copied) })
		return 0, logstore.ErrOutcomeUnknown
	case LoseAnswer:
		_, _ = s.append(p, records, copied)
		return 0, logstore.ErrOutcomeUnknown
	}
	return s.append(p, records, copied)
}

func (s *Store) append(p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	part := s.part(p)
	if w != nil {
		if end, done, err := part.fence(w, len(records) == 0); done || err != nil {
			return end, err
		}
	}
	for _, r := range records {
		r.Offset = part.end
		part.records = append(part.records, r)
		part.end++
	}
	if w != nil && len(records) > 0 {
		part.writers[w.Name].answers[w.Sequence] = part.end
	}
	close(part.changed)
	part.changed = make(chan struct{})
	return part.end, nil
}

// fence checks a fenced append. done says that it is answered already.
func (part *part) fence(w *logstore.Writer, empty bool) (end int64, done bool, err error) {
	known := part.writers[w.Name]
	if known == nil || w.Epoch > known.epoch {
		part.writers[w.Name] = &writer{epoch: w.Epoch, answers: make(map[int64]int64)}
		known = part.writers[w.Name]
	}
	switch {
	case w.Epoch < known.epoch:
		return 0, true, logstore.ErrFenced
	case empty:
		return part.end, true, nil
	}
	if end, ok := known.answers[w.Sequence]; ok {
		return end, true, nil
	}
	if known.started && w.Sequence != known.sequence+1 {
		return 0, true, &logstore.SequenceError{Expected: known.sequence + 1}
	}
	known.started, known.sequence = true, w.Sequence
	return 0, false, nil
}

// Read implements logstore.Store.
func (s *Store) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		switch s.faultOf(CallRead, p) {
		case Refuse:
			s.mu.Unlock()
			return logstore.Page{}, logstore.ErrUnavailable
		case None:
		default:
			s.mu.Unlock()
			return logstore.Page{}, logstore.ErrOutcomeUnknown
		}
		part := s.part(p)
		if from < part.first {
			s.mu.Unlock()
			return logstore.Page{}, logstore.ErrDeleted
		}
		page, changed := part.page(from, maxBytes), part.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(page.Records) > 0 || left <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return logstore.Page{}, logstore.ErrOutcomeUnknown
		}
	}
}

func (part *part) page(from int64, maxBytes int) logstore.Page {
	page := logstore.Page{End: part.end}
	size := 0
	for i := from; i < part.end; i++ {
		r := part.records[i]
		size += len(r.Key) + len(r.Value)
		if len(page.Records) > 0 && size > maxBytes {
			break
		}
		page.Records = append(page.Records, r)
	}
	return page
}

// ListNewest implements logstore.Store.
func (s *Store) ListNewest(_ context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.faultOf(CallNewest, p) {
	case Refuse:
		return logstore.Listing{}, logstore.ErrUnavailable
	case None:
	default:
		return logstore.Listing{}, logstore.ErrOutcomeUnknown
	}
	part := s.part(p)
	newest := make(map[string]logstore.Record)
	for _, r := range part.records {
		if r.IsTombstone() {
			delete(newest, r.Key)
		} else {
			newest[r.Key] = r
		}
	}
	var keys []string
	for k := range newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	listing := logstore.Listing{End: part.end}
	for i, k := range keys {
		if i == s.pageSize {
			listing.More = true
			break
		}
		listing.Records = append(listing.Records, newest[k])
	}
	return listing, nil
}

// Join implements logstore.Store.
func (s *Store) Join(_ context.Context, m logstore.Membership) (logstore.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.faultOf(CallJoin, logstore.Partition{}) {
	case Refuse:
		return logstore.Assignment{}, logstore.ErrUnavailable
	case DropRequest, Delay:
		return logstore.Assignment{}, logstore.ErrOutcomeUnknown
	}
	g := s.groups[m.Group]
	if g == nil {
		g = &group{members: make(map[string]time.Time), owners: make(map[int]string)}
		s.groups[m.Group] = g
	}
	now := s.now()
	for member, until := range g.members {
		if now.After(until) {
			g.leave(member)
		}
	}
	if _, ok := g.members[m.Member]; !ok {
		g.generation++
	}
	g.members[m.Member] = now.Add(m.TTL)
	g.giveUp(m.Member, (s.partitions+len(g.members)-1)/len(g.members))
	g.deal(s.partitions)
	return g.assignment(m.Member), nil
}

// Owners implements logstore.Store.
func (s *Store) Owners(_ context.Context, name, _ string) (map[int]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultOf(CallOwners, logstore.Partition{}) != None {
		return nil, logstore.ErrOutcomeUnknown
	}
	owners := make(map[int]string)
	if g := s.groups[name]; g != nil {
		for p, member := range g.owners {
			if now := s.now(); now.Before(g.members[member]) {
				owners[p] = member
			}
		}
	}
	return owners, nil
}

// Leave implements logstore.Store.
func (s *Store) Leave(_ context.Context, name, member string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.leave(member)
	}
	return nil
}

func (g *group) leave(member string) {
	delete(g.members, member)
	for p, owner := range g.owners {
		if owner == member {
			delete(g.owners, p)
		}
	}
	g.generation++
}

// giveUp takes what a member holds beyond a limit.
func (g *group) giveUp(member string, limit int) {
	held := g.assignment(member).Partitions
	for _, p := range held[min(limit, len(held)):] {
		delete(g.owners, p)
		g.generation++
	}
}

// deal gives free partitions to the members with the fewest.
func (g *group) deal(partitions int) {
	var members []string
	for m := range g.members {
		members = append(members, m)
	}
	sort.Strings(members)
	count := make(map[string]int)
	for _, owner := range g.owners {
		count[owner]++
	}
	for p := range partitions {
		if g.owners[p] != "" {
			continue
		}
		least := slices.MinFunc(members, func(a, b string) int { return count[a] - count[b] })
		g.owners[p] = least
		count[least]++
		g.generation++
	}
}

func (g *group) assignment(member string) logstore.Assignment {
	a := logstore.Assignment{Generation: g.generation}
	for p, owner := range g.owners {
		if owner == member {
			a.Partitions = append(a.Partitions, p)
		}
	}
	sort.Ints(a.Partitions)
	return a
}
