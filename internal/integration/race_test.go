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
	// publishLimit bounds one publication; it outlasts an outage of the log.
	publishLimit = 8 * time.Second
)

// hasLost reports whether a publication failed because another one won.
func hasLost(err error) bool {
	var lost *configs.ConflictError
	return errors.As(err, &lost)
}

func racedService(race, publisher int) string { return fmt.Sprintf("raced-%d-%d", race, publisher) }

// raced returns the names of all services that racing publishers may add.
func (f *faults) raced() []string {
	var names []string
	for race := range maxRaces {
		for publisher := range publishers {
			names = append(names, racedService(race, publisher))
		}
	}
	return names
}

// race lets publishers add one service each to the files in force at the same
// time. Only the newest version of a race counts as a fact, and only when no
// publisher's outcome is unknown: another one may have been replaced at a
// moment that only the log knows.
func (f *faults) race(ctx context.Context, _ *rand.Rand) error {
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
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishLimit)
			defer cancel()
			a.published, a.err = configs.Publish(ctx, f.log(), a.files)
			a.at = time.Now()
		})
	}
	wg.Wait()
	newest, unclear := -1, false
	for i, a := range attempts {
		switch {
		case a.err == nil && newest >= 0 && a.published.Version == attempts[newest].published.Version:
			return fmt.Errorf("race %d: both publishers were told that version %d is theirs", race, a.published.Version)
		case a.err == nil:
			if newest < 0 || a.published.Version > attempts[newest].published.Version {
				newest = i
			}
		case !hasLost(a.err):
			unclear = true
		}
	}
	if newest < 0 {
		return nil
	}
	f.files = attempts[newest].files
	if !unclear {
		f.publications = append(f.publications, checker.Publication{Service: racedService(race, newest), At: attempts[newest].at})
	}
	return nil
}
