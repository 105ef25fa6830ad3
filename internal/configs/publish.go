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

// Timing of one publication.
const (
	publishPause  = 100 * time.Millisecond // after a failed read or append
	publishPoll   = time.Second            // wait of one read for the own record
	publishAppend = 5 * time.Second        // longest append
)

// Published is the result of a publication that came into force.
type Published struct {
	Version int64
	// Unchanged says that the files were already in force and nothing was written.
	Unchanged bool
	// Changed and Removed count the files that differ from the version before.
	Changed, Removed int
}

// ConflictError reports that another publication came into force first.
type ConflictError struct {
	Base          int64 // version that the publication was based on
	ActiveVersion int64 // version in force instead
	ChangedPaths  []string
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("not accepted: version %d came into force before this change to version %d", e.ActiveVersion, e.Base)
	for _, path := range e.ChangedPaths {
		text += "\n  the other change touched " + path
	}
	return text
}

// Publish makes files the configuration in force, or returns why it did not.
// It appends one change that builds on the version in force, and learns the
// verdict by reading the log, whether or not the append was answered.
func Publish(ctx context.Context, log platform.Log, files map[string]string) (Published, error) {
	return publish(ctx, log, files, false)
}

// Reset makes files the configuration in force when the log no longer tells
// which version is: all hosts were gone until the records expired. It changes
// nothing as long as the log tells.
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
		return Published{}, eris.Errorf("not reset: the log tells that version %d is in force", p.follower.State().Version)
	case !reset && !p.follower.CaughtUp():
		return Published{}, errNoVersion
	}
	base := p.follower.State()
	changed, removed := config.Diff(base.Files, files)
	if len(changed) == 0 && len(removed) == 0 {
		return Published{Version: base.Version, Unchanged: true}, nil
	}
	slices.Sort(removed)
	p.before = base
	p.record = config.Record{ID: uuid.NewString(), Kind: config.KindChange, Base: base.Version, Files: changed, Removed: removed}
	if reset {
		p.record.Kind, p.record.Files, p.record.Removed = config.KindReset, files, nil
	}
	version, err := p.settle(ctx)
	if err != nil {
		return Published{}, err
	}
	return Published{Version: version, Changed: len(changed), Removed: len(removed)}, nil
}

var (
	errNotAppended = errors.New("not appended yet")
	errNoVersion   = errors.New("the log no longer tells which version is in force: no snapshot covers its expired records; " +
		"start an entry host that still has it, or publish with --reset")
)

// publication is the work on one record.
type publication struct {
	log      platform.Log
	follower *config.Follower
	record   config.Record
	before   config.State
	verdict  *config.Event // of the own record, once read
	missed   bool          // records expired before they were read, maybe the own one
}

// settle appends the record until the log shows what became of it. Appending
// it again is safe: its base is no longer in force once it was accepted.
func (p *publication) settle(ctx context.Context) (int64, error) {
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
			if err := p.read(ctx, publishPoll); err == nil {
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
			return 0, p.unsettled(appendErr)
		}
		pause(ctx)
	}
}

func (p *publication) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, publishAppend)
	defer cancel()
	_, err := p.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	return err
}

// result returns the verdict if it can be known now. A record that was not
// read yet has lost as soon as another version than its base is in force.
func (p *publication) result() (version int64, done bool, err error) {
	state := p.follower.State()
	switch {
	case p.verdict != nil && p.verdict.Accepted:
		return p.verdict.Version, true, nil
	case p.verdict != nil && p.verdict.Err != nil:
		return 0, true, eris.Wrap(p.verdict.Err, "not accepted: the log's readers found the change invalid")
	case p.missed:
		return 0, true, p.unsettled(nil)
	case state.Version != p.before.Version:
		changed, removed := config.Diff(p.before.Files, state.Files)
		for path := range changed {
			removed = append(removed, path)
		}
		slices.Sort(removed)
		return 0, true, &ConflictError{Base: p.before.Version, ActiveVersion: state.Version, ChangedPaths: removed}
	}
	return 0, false, nil
}

func (p *publication) unsettled(cause error) error {
	if errors.Is(cause, platform.ErrRefused) {
		return eris.Wrap(cause, "not accepted: the log refused the change until the time was over")
	}
	return eris.Errorf("outcome unknown: the log did not answer in time; change %s to version %d may still be accepted, "+
		"so read the version in force before publishing again", p.record.ID, p.before.Version)
}

// readToEnd reads until no record is left.
func (p *publication) readToEnd(ctx context.Context) error {
	var last error // before the time was over
	for {
		end, err := p.page(ctx, 0)
		switch {
		case err != nil && ctx.Err() != nil:
			return eris.Wrapf(cmp.Or(last, err), "not accepted: stream %s cannot be read", platform.StreamConfig)
		case err != nil:
			last = err
			pause(ctx)
		case p.follower.Next() >= end:
			return nil
		}
	}
}

func (p *publication) read(ctx context.Context, wait time.Duration) error {
	_, err := p.page(ctx, wait)
	return err
}

func (p *publication) page(ctx context.Context, wait time.Duration) (end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	page, err := p.log.Read(ctx, platform.StreamConfig, p.follower.Next(), wait)
	if err != nil {
		return 0, err
	}
	p.missed = p.missed || p.record.ID != "" && page.Earliest > p.follower.Next()
	for _, event := range p.follower.Apply(page) {
		if p.verdict == nil && p.record.ID != "" && event.ID == p.record.ID {
			p.verdict = &event
		}
	}
	return page.End, nil
}

func pause(ctx context.Context) { sleep(ctx, publishPause) }
