// Package memlog is an in-memory log store for tests. It gives the guarantees of
// the platform's store and injects its faults: refused calls, lost responses,
// delayed appends, deleted records and reassigned partitions.
package memlog

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Call is a kind of store call that faults can be injected into.
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

// Fault is a fault to inject into one call.
type Fault int

// Faults of calls. Read and ListNewest treat the last three alike, and Owners all
// four. Join succeeds under LoseResponse, and Leave has no faults.
const (
	None         Fault = iota
	Refuse             // the call is refused and has no effect
	LoseResponse       // the call takes effect, but its response is lost
	DropRequest        // the call has no effect and no response
	Delay              // no response; an append takes effect when ReleaseDelayed is called
)

// maxPageBytes bounds the records of a page of a listing, beyond its first one.
const maxPageBytes = 1 << 20

// Store implements logstore.Store in memory.
type Store struct {
	mu             sync.Mutex
	partitions     map[logstore.Partition]*partition
	groups         map[string]*group
	fault          func(Call, logstore.Partition) Fault
	delayed        []func()
	pageSize       int
	partitionCount int
	now            func() time.Time
}

type partition struct {
	records []logstore.Record
	first   int64 // offset of the first record that is not deleted
	end     int64
	writers map[string]*writer
	changed chan struct{}
}

type writer struct {
	epoch, sequence int64
	appended        bool
	ends            map[int64]int64 // partition end after each append, by sequence number
}

type group struct {
	generation int64
	members    map[string]time.Time // expiry of each membership
	owners     map[int]string
}

// New returns an empty store with the given number of partitions per topic.
func New(partitions int) *Store {
	return &Store{
		partitions: make(map[logstore.Partition]*partition), groups: make(map[string]*group),
		pageSize: 500, partitionCount: partitions, now: time.Now,
	}
}

// SetFault installs a function that chooses the fault of each call; nil injects
// none.
func (s *Store) SetFault(f func(Call, logstore.Partition) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetPageSize sets the maximum number of records in a page of a listing.
func (s *Store) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// ReleaseDelayed executes the calls that were delayed.
func (s *Store) ReleaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.delayed {
		call()
	}
	s.delayed = nil
}

// Delete deletes all records of a partition from the log. ListNewest still returns
// the newest one of each key.
func (s *Store) Delete(p logstore.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(p).first = s.partition(p).end
}

// Reassign revokes all partitions of a group; the next Join assigns them again.
func (s *Store) Reassign(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.owners = make(map[int]string)
		g.generation++
	}
}

func (s *Store) partition(p logstore.Partition) *partition {
	if s.partitions[p] == nil {
		s.partitions[p] = &partition{writers: make(map[string]*writer), changed: make(chan struct{})}
	}
	return s.partitions[p]
}

func (s *Store) faultFor(c Call, p logstore.Partition) Fault {
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
	switch s.faultFor(CallAppend, p) {
	case Refuse:
		return 0, logstore.ErrUnavailable
	case DropRequest:
		return 0, logstore.ErrOutcomeUnknown
	case Delay:
		s.delayed = append(s.delayed, func() { _, _ = s.append(p, records, copied) })
		return 0, logstore.ErrOutcomeUnknown
	case LoseResponse:
		_, _ = s.append(p, records, copied)
		return 0, logstore.ErrOutcomeUnknown
	}
	return s.append(p, records, copied)
}

func (s *Store) append(p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	part := s.partition(p)
	if w != nil {
		if end, done, err := part.checkFence(w, len(records) == 0); done || err != nil {
			return end, err
		}
	}
	for _, r := range records {
		r.Offset = part.end
		part.records = append(part.records, r)
		part.end++
	}
	if w != nil && len(records) > 0 {
		part.writers[w.Name].ends[w.Sequence] = part.end
	}
	close(part.changed)
	part.changed = make(chan struct{})
	return part.end, nil
}

// checkFence checks a fenced append. done is set if nothing is left to append: the
// append is rejected, is a duplicate, or only registers the epoch.
func (part *partition) checkFence(w *logstore.Writer, empty bool) (end int64, done bool, err error) {
	known := part.writers[w.Name]
	if known == nil || w.Epoch > known.epoch {
		part.writers[w.Name] = &writer{epoch: w.Epoch, ends: make(map[int64]int64)}
		known = part.writers[w.Name]
	}
	switch {
	case w.Epoch < known.epoch:
		return 0, true, logstore.ErrFenced
	case empty:
		return part.end, true, nil
	}
	if end, ok := known.ends[w.Sequence]; ok {
		return end, true, nil
	}
	if known.appended && w.Sequence != known.sequence+1 {
		return 0, true, &logstore.SequenceError{Expected: known.sequence + 1}
	}
	known.appended, known.sequence = true, w.Sequence
	return 0, false, nil
}

// Read implements logstore.Store.
func (s *Store) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		switch s.faultFor(CallRead, p) {
		case Refuse:
			s.mu.Unlock()
			return logstore.Page{}, logstore.ErrUnavailable
		case None:
		default:
			s.mu.Unlock()
			return logstore.Page{}, logstore.ErrOutcomeUnknown
		}
		part := s.partition(p)
		if from < part.first {
			s.mu.Unlock()
			return logstore.Page{}, &logstore.DeletedError{First: part.first}
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

func (part *partition) page(from int64, maxBytes int) logstore.Page {
	page := logstore.Page{End: part.end, First: part.first}
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

// AppendLate carries out an append after a delay, also if the caller has left by then.
func (s *Store) AppendLate(ctx context.Context, delay time.Duration, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	type answer struct {
		end int64
		err error
	}
	answered := make(chan answer, 1)
	if w != nil {
		sent := *w // the caller goes on to use its own
		w = &sent
	}
	time.AfterFunc(delay, func() {
		end, err := s.Append(context.WithoutCancel(ctx), p, records, w)
		answered <- answer{end, err}
	})
	select {
	case a := <-answered:
		return a.end, a.err
	case <-ctx.Done():
		return 0, logstore.ErrOutcomeUnknown
	}
}

// ListNewest implements logstore.Store.
func (s *Store) ListNewest(_ context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.faultFor(CallNewest, p) {
	case Refuse:
		return logstore.Listing{}, logstore.ErrUnavailable
	case None:
	default:
		return logstore.Listing{}, logstore.ErrOutcomeUnknown
	}
	part := s.partition(p)
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
	size := 0
	for i, k := range keys {
		if size += len(k) + len(newest[k].Value); i == s.pageSize || i > 0 && size > maxPageBytes {
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
	switch s.faultFor(CallJoin, logstore.Partition{}) {
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
	g.releaseExcess(m.Member, (s.partitionCount+len(g.members)-1)/len(g.members))
	g.assignFree(s.partitionCount)
	return g.assignment(m.Member), nil
}

// Owners implements logstore.Store.
func (s *Store) Owners(_ context.Context, name, _ string) (map[int]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFor(CallOwners, logstore.Partition{}) != None {
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

// releaseExcess releases the partitions that a member owns beyond a limit.
func (g *group) releaseExcess(member string, limit int) {
	owned := g.assignment(member).Partitions
	for _, p := range owned[min(limit, len(owned)):] {
		delete(g.owners, p)
		g.generation++
	}
}

// assignFree assigns partitions without an owner to the members with the fewest.
func (g *group) assignFree(partitions int) {
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
