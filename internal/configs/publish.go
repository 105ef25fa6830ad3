package configs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/config"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// Timing of a publication.
const (
	publishRetryDelay    = 100 * time.Millisecond // backoff after a failed read or append
	publishPollWait      = time.Second            // maximum wait of one read for the published record
	publishAppendTimeout = 5 * time.Second        // timeout of one append
)

// Published is the result of a publication that became the active configuration.
type Published struct {
	Version int64
	// Unchanged reports that the files were already active and nothing was written.
	Unchanged bool
	// Changed and Removed count the files that differ from the previous version.
	Changed, Removed int
}

// ConflictError reports that a concurrent publication was accepted first.
type ConflictError struct {
	Base          int64 // version on which the publication was based
	ActiveVersion int64 // version that is active instead
	ChangedPaths  []string
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("not accepted: version %d became active before this change, which is based on version %d", e.ActiveVersion, e.Base)
	for _, path := range e.ChangedPaths {
		text += "\n  changed in the meantime: " + path
	}
	return text
}

// Publish makes files the active configuration, or returns an error with the
// reason. It appends one change that is based on the active version and reads
// the log to determine whether the change was accepted, regardless of whether
// the append was answered.
func Publish(ctx context.Context, log platform.Log, files map[string]string) (Published, error) {
	return publish(ctx, log, files, false)
}

// Reset makes files the active configuration when the active version can no
// longer be determined from the log, because its records expired while no host
// was running. It fails if the active version is known.
func Reset(ctx context.Context, log platform.Log, files map[string]string) (Published, error) {
	return publish(ctx, log, files, true)
}

func publish(ctx context.Context, log platform.Log, files map[string]string, reset bool) (Published, error) {
	if _, findings := declare.ParseFiles(files); findings.Err() != nil {
		return Published{}, findings.Err()
	}
	p := &publication{log: log, follower: config.NewFollower()}
	if err := p.readToEnd(ctx); err != nil {
		return Published{}, err
	}
	switch {
	case reset && p.follower.CaughtUp():
		return Published{}, eris.Errorf("not reset: version %d is active according to the log", p.follower.State().Version)
	case !reset && !p.follower.CaughtUp():
		return Published{}, errVersionUnknown
	}
	base := p.follower.State()
	changed, removed := config.Diff(base.Files, files)
	if len(changed) == 0 && len(removed) == 0 {
		return Published{Version: base.Version, Unchanged: true}, nil
	}
	slices.Sort(removed)
	p.base = base
	p.record = config.Record{ID: uuid.NewString(), Kind: config.KindChange, Base: base.Version, Files: changed, Removed: removed}
	if reset {
		p.record.Kind, p.record.Files, p.record.Removed = config.KindReset, files, nil
	}
	version, err := p.commit(ctx)
	if err != nil {
		return Published{}, err
	}
	return Published{Version: version, Changed: len(changed), Removed: len(removed)}, nil
}

var (
	errNotAppended    = errors.New("not appended yet")
	errVersionUnknown = errors.New("the active version cannot be determined from the log: no snapshot covers its expired records; " +
		"start an entry host that still has the configuration, or publish with --reset")
)

// publication is the state of publishing one record.
type publication struct {
	log            platform.Log
	follower       *config.Follower
	record         config.Record
	base           config.State
	event          *config.Event // effect of record, nil until it was read
	mayHaveExpired bool          // records, possibly including record, expired before they were read
}

// commit appends the record until its outcome can be read from the log.
// Appending it again is safe: once it was accepted, its base is no longer the
// active version and duplicates are rejected.
func (p *publication) commit(ctx context.Context) (int64, error) {
	data, err := p.record.Encode()
	if err != nil {
		return 0, err
	}
	appendErr := errNotAppended
	for {
		if appendErr != nil {
			appendErr = p.append(ctx, data)
		}
		if ctx.Err() == nil && (appendErr == nil || !errors.Is(appendErr, platform.ErrRefused)) {
			if err := p.readOnce(ctx, publishPollWait); err == nil {
				err = p.readToEnd(ctx)
				if version, done, verdictErr := p.result(); err == nil && done {
					return version, verdictErr
				}
			}
		}
		if version, done, verdictErr := p.result(); done {
			return version, verdictErr
		}
		if ctx.Err() != nil {
			return 0, p.outcomeError(appendErr)
		}
		backoff(ctx)
	}
}

func (p *publication) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, publishAppendTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	return err
}

// result returns the outcome if the records read so far determine it. A record
// that was not read yet is rejected as soon as the active version differs from
// its base.
func (p *publication) result() (version int64, done bool, err error) {
	state := p.follower.State()
	switch {
	case p.event != nil && p.event.Accepted:
		return p.event.Version, true, nil
	case p.event != nil && p.event.Err != nil:
		return 0, true, eris.Wrap(p.event.Err, "not accepted: the change is invalid in the merged configuration")
	case p.mayHaveExpired:
		return 0, true, p.outcomeError(nil)
	case state.Version != p.base.Version:
		changed, paths := config.Diff(p.base.Files, state.Files)
		for path := range changed {
			paths = append(paths, path)
		}
		slices.Sort(paths)
		return 0, true, &ConflictError{Base: p.base.Version, ActiveVersion: state.Version, ChangedPaths: paths}
	}
	return 0, false, nil
}

func (p *publication) outcomeError(cause error) error {
	if errors.Is(cause, platform.ErrRefused) {
		return eris.Wrap(cause, "not accepted: the log refused the change until the deadline")
	}
	return eris.Errorf("outcome unknown: the log did not answer in time; change %s, based on version %d, may still be accepted, "+
		"so check the active version before publishing again", p.record.ID, p.base.Version)
}

// readToEnd reads up to the end of the stream.
func (p *publication) readToEnd(ctx context.Context) error {
	var lastErr error // last read error before ctx ended
	for {
		end, err := p.readPage(ctx, 0)
		switch {
		case err != nil && ctx.Err() != nil:
			return eris.Wrapf(cmp.Or(lastErr, err), "not accepted: stream %s cannot be read", platform.StreamConfig)
		case err != nil:
			lastErr = err
			backoff(ctx)
		case p.follower.Next() >= end:
			return nil
		}
	}
}

func (p *publication) readOnce(ctx context.Context, wait time.Duration) error {
	_, err := p.readPage(ctx, wait)
	return err
}

func (p *publication) readPage(ctx context.Context, wait time.Duration) (end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	page, err := p.log.Read(ctx, platform.StreamConfig, p.follower.Next(), wait)
	if err != nil {
		return 0, err
	}
	p.mayHaveExpired = p.mayHaveExpired || p.record.ID != "" && page.Earliest > p.follower.Next()
	for _, event := range p.follower.Apply(page) {
		if p.event == nil && p.record.ID != "" && event.ID == p.record.ID {
			p.event = &event
		}
	}
	return page.End, nil
}

func backoff(ctx context.Context) { sleep(ctx, publishRetryDelay) }
