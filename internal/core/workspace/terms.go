package workspace

import "time"

// A host serves requests with keys until a margin before RevokeWithin has passed since its
// newest complete read of the configuration, but at least for the time in which callers
// still expect answers of a host without a path to the store.
const (
	// marginDivisor gives the margin as a part of RevokeWithin.
	marginDivisor = 10
	// minMargin covers a store that answered a long poll early over a slow connection: the
	// read then counts as newer than it is, by at most the long poll.
	minMargin = 500 * time.Millisecond
	// expectedTenths is the part of RevokeWithin, in tenths, for which callers expect answers.
	expectedTenths = 6
)

// Terms are the terms on which a removed key ceases to work.
type Terms struct {
	// Strict is set if no request that is sent later than RevokeWithin after the removal
	// of its key may run.
	Strict       bool
	RevokeWithin time.Duration
}

// Expiry returns the time from which a host must not run requests with keys if its newest
// complete read of the configuration was as of asOf; zero means no limit.
func (t Terms) Expiry(asOf time.Time) time.Time {
	if !t.Strict {
		return time.Time{}
	}
	return t.freshUntil(asOf)
}

// Allows reports whether a host may run requests with keys. It may not before its first
// complete read, for which asOf is zero.
func (t Terms) Allows(asOf, now time.Time) bool {
	return !t.Strict || t.IsFresh(asOf, now)
}

// IsFresh reports whether the newest complete read is recent enough to rely on.
func (t Terms) IsFresh(asOf, now time.Time) bool {
	return !asOf.IsZero() && now.Before(t.freshUntil(asOf))
}

func (t Terms) freshUntil(asOf time.Time) time.Time {
	margin := max(t.RevokeWithin/marginDivisor, minMargin)
	return asOf.Add(max(t.RevokeWithin-margin, t.RevokeWithin*expectedTenths/10))
}

// Verdict says whether a request with a key may run.
type Verdict int

// Verdicts.
const (
	Admitted   Verdict = iota
	UnknownKey         // the key is missing or belongs to no workspace
	// Undecided means that the host's configuration may be too old: the key may have been
	// removed, or an unknown one added.
	Undecided
)

func (v Verdict) String() string { return [...]string{"admitted", "unknown key", "undecided"}[v] }

// Authorize decides on a request with a key, by the directory of the newest configuration.
// h is nil if the request has no key.
func (t Terms) Authorize(d *Directory, h *KeyHash, asOf, now time.Time) (*Workspace, Verdict) {
	var w *Workspace
	if h != nil {
		w = d.Lookup(*h)
	}
	switch {
	case h == nil || w == nil && t.IsFresh(asOf, now):
		return nil, UnknownKey
	case w == nil || !t.Allows(asOf, now):
		return nil, Undecided
	}
	return w, Admitted
}
