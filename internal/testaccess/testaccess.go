// Package testaccess provides configurations with workspaces, and gates that rest on them,
// for tests.
package testaccess

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Workspaces declares the workspaces acme with the keys acme-1 and acme-2, and other with
// the key other-1.
func Workspaces() string {
	return "[workspace acme]\nkey_hashes = " + hash("acme-1") + ", " + hash("acme-2") + "\n" + Other()
}

// Other declares the workspace other only.
func Other() string { return "[workspace other]\nkey_hashes = " + hash("other-1") + "\n" }

func hash(key string) string { return workspace.HashKey(key).String() }

// Source is a configuration of which a test decides how recently it was read.
type Source struct {
	t    testing.TB
	mu   sync.Mutex
	set  *declare.Set
	asOf time.Time
}

// New returns a Source with the declarations of a file, read just now.
func New(t testing.TB, declarations string) *Source {
	s := &Source{t: t}
	s.Read(declarations)
	return s
}

// Read replaces the declarations by those of a file, read just now.
func (s *Source) Read(declarations string) {
	set, findings := declare.ParseFiles(map[string]string{"a.ini": declarations})
	must.NoError(s.t, findings.Err())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set, s.asOf = set, boottime.Now()
}

// Age makes the newest complete read older.
func (s *Source) Age(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf = s.asOf.Add(-by)
}

// Current implements cluster.Configs.
func (s *Source) Current() (*declare.Set, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set, 1
}

// CompleteAsOf implements access.Source.
func (s *Source) CompleteAsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// Gate returns a gate with strict revocation within an hour.
func (s *Source) Gate() *access.Gate {
	recorder, err := telemetry.NewRecorder("test", 0)
	must.NoError(s.t, err)
	return access.New(workspace.Terms{Strict: true, RevokeWithin: time.Hour}, s, recorder)
}
