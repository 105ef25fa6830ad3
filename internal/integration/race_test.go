package integration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/checker"
	"github.com/sesamestand/sesamestand/internal/configs"
)

const (
	maxRaces   = 8
	publishers = 2
	// publishTimeout is the timeout of one publication. It is longer than an
	// outage of the log.
	publishTimeout = 8 * time.Second
)

// isConflict reports whether a publication failed because another one was
// accepted first.
func isConflict(err error) bool {
	var conflict *configs.ConflictError
	return errors.As(err, &conflict)
}

func racedService(race, publisher int) string { return fmt.Sprintf("raced-%d-%d", race, publisher) }

// racedServices returns the names of all services that the racing publishers may
// add.
func (f *faults) racedServices() []string {
	var names []string
	for race := range maxRaces {
		for publisher := range publishers {
			names = append(names, racedService(race, publisher))
		}
	}
	return names
}

// racePublishers lets several publishers each add one service to the active
// files at the same time. Only the newest version of a race is recorded for the
// checker, and only if no publisher's outcome is unknown: any other version may
// have been replaced at a time that only the log knows.
func (f *faults) racePublishers(ctx context.Context, _ *rand.Rand) error {
	race := f.races
	if race == maxRaces {
		return nil
	}
	f.races++
	type attempt struct {
		files     map[string]string
		published configs.Published
		err       error
		at        time.Time
	}
	attempts := make([]attempt, publishers)
	var wg sync.WaitGroup
	for i := range attempts {
		a := &attempts[i]
		a.files = maps.Clone(f.files)
		a.files[racedService(race, i)+".ini"] = "[service " + racedService(race, i) + "]\nclass = batch\ntimeout = 1s\n"
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
			defer cancel()
			a.published, a.err = configs.Publish(ctx, f.log(), a.files)
			a.at = time.Now()
		})
	}
	wg.Wait()
	newest, outcomeUnknown := -1, false
	for i, a := range attempts {
		switch {
		case a.err == nil && newest >= 0 && a.published.Version == attempts[newest].published.Version:
			return fmt.Errorf("race %d: two publications were accepted as version %d", race, a.published.Version)
		case a.err == nil:
			if newest < 0 || a.published.Version > attempts[newest].published.Version {
				newest = i
			}
		case !isConflict(a.err):
			outcomeUnknown = true
		}
	}
	if newest < 0 {
		return nil
	}
	f.files = attempts[newest].files
	if !outcomeUnknown {
		f.publications = append(f.publications, checker.Publication{Service: racedService(race, newest), At: attempts[newest].at})
	}
	return nil
}
