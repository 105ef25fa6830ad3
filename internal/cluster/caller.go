package cluster

import (
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

// Caller is who sends a request. The zero Caller is one whose request needs no key,
// because the configuration declares no workspaces.
type Caller struct {
	// Workspace is the name of the caller's workspace, or empty.
	Workspace string
	// Key is the hash of the key that the caller sent; zero if its request needs none.
	Key workspace.KeyHash
	// Checked reports that the configuration declares workspaces.
	Checked bool
}

// HasKey reports whether the request may run only while the key is valid.
func (c Caller) HasKey() bool { return c.Key != workspace.KeyHash{} }

// QualifyID returns the ID under which the system keeps a request of the caller. Equal IDs
// of two workspaces are different ones.
func (c Caller) QualifyID(id string) string {
	if !c.Checked {
		return id
	}
	return jobs.QualifyID(c.Workspace, id)
}
