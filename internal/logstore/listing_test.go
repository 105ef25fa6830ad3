package logstore

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// listStore serves prepared pages of a listing by the key that they begin after.
type listStore struct {
	Store
	pages map[string]Listing
	calls int
}

func (s *listStore) ListNewest(_ context.Context, _ Partition, after string) (Listing, error) {
	s.calls++
	return s.pages[after], nil
}

func (s *listStore) Read(ctx context.Context, _ Partition, _ int64, _ int, wait time.Duration) (Page, error) {
	sleep(ctx, wait)
	return Page{End: 9}, nil
}

func records(keys ...string) (list []Record) {
	for _, key := range keys {
		list = append(list, Record{Key: key, Value: []byte("v")})
	}
	return list
}

// Guards against a listing that is repeated for ever, so that the host is never ready,
// because a page ends with an empty key or with one that is not UTF-8.
func TestListingWithOddKeysComesToAnEnd(t *testing.T) {
	for what, pages := range map[string]map[string]Listing{
		"empty key": {"": {Records: records(""), More: true, End: 9}, "\x00": {Records: records("b"), End: 9}},
		"not UTF-8": {"": {Records: records("a\uFFFD"), More: true, End: 9}, "a\uFFFD": {Records: records("a\uFFFD"), More: true, End: 9}, "a\xff\xff": {Records: records("b"), End: 9}},
	} {
		store := &listStore{pages: pages}
		var applied []Batch
		f := NewFollower(store, Partition{Topic: "servers"}, func(b Batch) { applied = append(applied, b) })
		for range 20 {
			must.NoError(t, f.step(context.Background(), 0))
		}
		must.True(t, f.HasSynced(), must.Sprint(what))
		must.Len(t, 1, applied, must.Sprint(what))
		must.True(t, applied[0].Complete)
		must.EqOp(t, "b", applied[0].Records[len(applied[0].Records)-1].Key)
		must.EqOp(t, len(pages), store.calls, must.Sprint(what))
	}
}

// Guards against a listing whose pages do not advance that fills the memory or counts as
// complete.
func TestListingWithoutProgressIsAnError(t *testing.T) {
	store := &listStore{pages: map[string]Listing{"": {Records: records("a", "k"), More: true, End: 9}, "k": {Records: records("j", "k"), More: true, End: 9}}}
	var applied []Batch
	f := NewFollower(store, Partition{Topic: "servers"}, func(b Batch) { applied = append(applied, b) })
	must.NoError(t, f.step(context.Background(), 0))
	for range 20 {
		must.ErrorContains(t, f.step(context.Background(), 0), "no progress")
	}
	must.False(t, f.HasSynced())
	must.Len(t, 2, f.listing.Records)
	store.pages["k"] = Listing{Records: records("m"), End: 9}
	must.NoError(t, f.step(context.Background(), 0))
	must.Len(t, 3, applied[0].Records)
}

// Guards against a follower that repeats a slow page of a listing from its first record
// on, and against a listing that is taken to reach an end that did not arrive.
func TestBrokenPagesOfAListingAreKept(t *testing.T) {
	broken := Listing{Records: records("c", "d"), More: true, Truncated: true}
	store := &listStore{pages: map[string]Listing{"": {Records: records("a"), More: true, Truncated: true}}}
	var applied []Batch
	f := NewFollower(store, Partition{Topic: "servers"}, func(b Batch) { applied = append(applied, b) })
	must.ErrorIs(t, f.step(context.Background(), 0), errNoEnd)
	store.pages = map[string]Listing{"": {Records: records("a", "b"), More: true, End: 9}, "b": broken, "d": {Records: records("e"), End: 11}}
	for range 3 {
		must.NoError(t, f.step(context.Background(), 0))
	}
	must.Len(t, 1, applied)
	must.Eq(t, records("a", "b", "c", "d", "e"), applied[0].Records)
	must.EqOp(t, 9, f.nextOffset)
}
