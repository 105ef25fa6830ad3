// Package workspace holds the workspaces that operators declare, finds the workspace of a
// key, and decides until when a host may serve requests that need a key. It has no I/O and
// no clock.
//
// Load: one lookup for each request and each further send, in a map that is built once for
// each configuration (75 workspaces with a few keys each). Unknown keys create no state.
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of declared values.
const (
	MaxNameBytes = 200 // a name is sent to backend servers as the value of a header
	MaxKeyBytes  = 4096
	MaxPriority  = 1 << 20
)

// Header has the name of the workspace in requests to backend servers, on hosts without a
// log store.
const Header = "Workspace"

// KeyHash is the hash of a key. Keys are kept and compared only as hashes.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash decodes a hash in hex digits. The error doesn't quote the text, which may be
// a key.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return KeyHash{}, fmt.Errorf("has %d characters, want %d hex digits", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return KeyHash{}, fmt.Errorf("is not %d hex digits", hex.EncodedLen(len(h)))
	}
	return h, nil
}

// String returns the hash in hex digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// CheckKey returns why a key cannot be used, or nil. The error doesn't quote the key.
func CheckKey(key string) error {
	if reason := invalidKey(key); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// Workspace is a customer of an operator.
type Workspace struct {
	Name        string
	Priority    int // 0 is the most urgent; valid if HasPriority is set
	HasPriority bool
}

// PriorityOr returns the priority of the workspace, or that of the route if the workspace
// has none or is nil.
func (w *Workspace) PriorityOr(route int) int {
	if w == nil || !w.HasPriority {
		return route
	}
	return w.Priority
}

// Declared is a workspace as an operator declares it.
type Declared struct {
	Name string
	Keys []string
	// Hashes are those of keys that are declared by their hashes. The zero hash stands for
	// one that could not be decoded.
	Hashes      []KeyHash
	Priority    int
	HasPriority bool
	// Invalid is why the declaration could not be decoded, or empty.
	Invalid string
}

// WholeWorkspace is the key index of a Problem that concerns no single key.
const WholeWorkspace = -1

// Problem is a value of a declaration that is not used. It names keys by their index only.
type Problem struct {
	Workspace int    // index of the declaration
	Name      string // declared name
	Key       int    // index of the key, with the hashes after the keys, or WholeWorkspace
	Reason    string
}

func (p Problem) String() string {
	place := fmt.Sprintf("workspace %d (%.40q)", p.Workspace, p.Name)
	if p.Key != WholeWorkspace {
		place += fmt.Sprintf(", key %d", p.Key)
	}
	return place + ": " + p.Reason
}

// Directory finds the workspace of a key. It is immutable; a nil Directory has no
// workspaces.
type Directory struct {
	declared int
	byName   map[string]*Workspace
	byKey    map[KeyHash]*Workspace
}

// NewDirectory returns the directory of the valid declarations and the problems of the
// others. A declaration with an invalid name or priority is not used, nor is a later one of
// the same name. An invalid key, and a key of two workspaces, is not used; the other keys of
// its workspace are.
func NewDirectory(declared []Declared) (*Directory, []Problem) {
	b := builder{
		directory: &Directory{declared: len(declared), byName: make(map[string]*Workspace), byKey: make(map[KeyHash]*Workspace)},
		firstName: make(map[string]int), firstUse: make(map[KeyHash]keyUse),
	}
	for i, d := range declared {
		b.add(i, d)
	}
	return b.directory, b.problems
}

// Enabled reports whether the configuration declares workspaces, so that keys are
// required. Declarations that are not used count: their requests must not go unchecked.
func (d *Directory) Enabled() bool { return d != nil && d.declared > 0 }

// Lookup returns the workspace of a key, or nil if the key is unknown.
func (d *Directory) Lookup(h KeyHash) *Workspace {
	if d == nil {
		return nil
	}
	return d.byKey[h]
}

// Len returns the number of workspaces in use.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Named returns the workspace of a name, or nil if none in use has it.
func (d *Directory) Named(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// keyUse is the first use of a key.
type keyUse struct {
	workspace int // index of the first declaration with the name
	reported  bool
	declared  int
	key       int
	name      string
}

// builder collects the declarations of a Directory.
type builder struct {
	directory *Directory
	problems  []Problem
	firstName map[string]int
	firstUse  map[KeyHash]keyUse
}

func (b *builder) report(i int, name string, key int, reason string) {
	b.problems = append(b.problems, Problem{Workspace: i, Name: name, Key: key, Reason: reason})
}

func (b *builder) add(i int, d Declared) {
	owner, reason := i, d.invalid()
	if first, repeated := b.firstName[d.Name]; repeated && d.Name != "" {
		owner = first
		if reason == "" {
			reason = fmt.Sprintf("name is already declared by workspace %d", first)
		}
	} else {
		b.firstName[d.Name] = i
	}
	var w *Workspace
	if reason != "" {
		b.report(i, d.Name, WholeWorkspace, reason)
	} else {
		w = &Workspace{Name: d.Name, Priority: d.Priority, HasPriority: d.HasPriority}
		b.directory.byName[d.Name] = w
	}
	for k, key := range d.Keys {
		if reason := invalidKey(key); reason != "" {
			b.report(i, d.Name, k, reason)
			continue
		}
		b.addKey(HashKey(key), w, keyUse{workspace: owner, declared: i, key: k, name: d.Name})
	}
	for k, h := range d.Hashes {
		if h == (KeyHash{}) {
			continue
		}
		b.addKey(h, w, keyUse{workspace: owner, declared: i, key: len(d.Keys) + k, name: d.Name})
	}
}

// addKey adds a key of a workspace, which is nil if its declaration is not used. Such keys
// count as well when a key is in two workspaces: whose key it is, is not certain then.
func (b *builder) addKey(h KeyHash, w *Workspace, use keyUse) {
	first, used := b.firstUse[h]
	switch {
	case !used:
		b.firstUse[h] = use
		if w != nil {
			b.directory.byKey[h] = w
		}
	case first.workspace == use.workspace:
		b.report(use.declared, use.name, use.key, "key is declared twice")
	default:
		delete(b.directory.byKey, h)
		if !first.reported {
			b.report(first.declared, first.name, first.key, "key belongs to two workspaces")
			first.reported = true
			b.firstUse[h] = first
		}
		b.report(use.declared, use.name, use.key, "key belongs to two workspaces")
	}
}

// invalid returns why a declaration cannot be used, apart from its keys, or "".
func (d *Declared) invalid() string {
	switch {
	case d.Invalid != "":
		return d.Invalid
	case d.Name == "":
		return "name is empty"
	case len(d.Name) > MaxNameBytes:
		return fmt.Sprintf("name has %d bytes, want at most %d", len(d.Name), MaxNameBytes)
	case !isHeaderText(d.Name):
		return "name has control characters, or spaces at its ends"
	case d.HasPriority && (d.Priority < 0 || d.Priority > MaxPriority):
		return fmt.Sprintf("priority is %d, want 0 to %d", d.Priority, MaxPriority)
	}
	return ""
}

// invalidKey returns why a key cannot be used, or "". The reason doesn't quote the key.
func invalidKey(key string) string {
	switch {
	case key == "":
		return "key is empty"
	case len(key) > MaxKeyBytes:
		return fmt.Sprintf("key has %d bytes, want at most %d", len(key), MaxKeyBytes)
	case !isHeaderText(key):
		return "key has control characters, or spaces at its ends"
	}
	return ""
}

// isHeaderText reports whether a text arrives unchanged as the value of a header.
func isHeaderText(text string) bool {
	return utf8.ValidString(text) && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, unicode.IsControl)
}

// BearerKey returns the key in the values of a request's Authorization header. There is
// none unless the header occurs once and its scheme is Bearer.
func BearerKey(authorization []string) (key string, ok bool) {
	if len(authorization) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(authorization[0], " ")
	key = strings.TrimSpace(key)
	return key, found && strings.EqualFold(scheme, "Bearer") && key != ""
}
