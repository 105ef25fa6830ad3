package declare

import (
	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

// kindWorkspace is the kind of sections that declare workspaces. Section [workspace NAME].
const kindWorkspace = "workspace"

// keyHashes is the key of a workspace's hashes of keys.
const keyHashes = "key_hashes"

func (c *collector) decodeWorkspace(r *sectionReader, name string) {
	_, hasPriority := r.section.Values["priority"]
	c.workspaces = append(c.workspaces, workspace.Declared{
		Name:        name,
		Hashes:      r.keyHashes(keyHashes),
		Priority:    int(r.integer("priority", 0, 0, workspace.MaxPriority)),
		HasPriority: hasPriority,
	})
}

// keyHashes reads a comma-separated list of hashes of keys. Findings don't quote an item,
// which may be a key.
func (r *sectionReader) keyHashes(key string) []workspace.KeyHash {
	if _, ok := r.lookup(key); !ok {
		r.report(key, "is missing")
		return nil
	}
	items := r.list(key)
	hashes := make([]workspace.KeyHash, 0, len(items))
	for i, item := range items {
		h, err := workspace.ParseKeyHash(item)
		switch {
		case err != nil:
			r.report(key, "item %d %v", i+1, err)
		case h == workspace.HashKey(""):
			r.report(key, "item %d is the hash of an empty key", i+1)
		}
		hashes = append(hashes, h)
	}
	return hashes
}

// checkWorkspaces builds the directory of the declared workspaces.
func (c *collector) checkWorkspaces() {
	directory, problems := workspace.NewDirectory(c.workspaces)
	c.set.Workspaces = directory
	for _, p := range problems {
		if p.Key == workspace.WholeWorkspace {
			c.reportAt(kindWorkspace+" "+p.Name, p.Name, "%s", p.Reason)
			continue
		}
		c.reportAt(kindWorkspace+" "+p.Name, keyHashes, "item %d: %s", p.Key+1, p.Reason)
	}
}

func (c *collector) checkTrainerWorkspace(header string, t *Trainer) {
	switch {
	case t.Workspace == "":
	case c.set.Workspaces.Named(t.Workspace) == nil:
		c.reportAt(header, "workspace", "workspace %s is not declared", t.Workspace)
	case t.Public:
		c.reportAt(header, "public", "a trainer of a workspace cannot be public")
	}
}

// PublicModel reports whether a model may be used without a key.
func (s *Set) PublicModel(name string) bool { return s.Models[name] != nil && s.Models[name].Public }

// PublicService reports whether a service may be used without a key.
func (s *Set) PublicService(name string) bool {
	return s.Services[name] != nil && s.Services[name].Public
}

// PublicTrainer reports whether a trainer's calls need no key.
func (s *Set) PublicTrainer(name string) bool {
	return s.Trainers[name] != nil && s.Trainers[name].Public
}
