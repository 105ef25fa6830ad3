package jobs

import (
	"crypto/sha256"
	"encoding/base64"
)

// A qualified ID of a job or an item is the ID that its caller knows after a digest of the
// name of the caller's workspace. Equal IDs of two workspaces are different ones in tables,
// record keys and stored outputs.
const (
	idMark      = '~'
	digestBytes = 9
	// prefixBytes is the length of a digest between two marks.
	prefixBytes = digestBytes*4/3 + 2
)

// QualifyID returns the ID of a job or an item of a workspace. Without a workspace it is
// the caller's ID, unless that looks like a qualified one.
func QualifyID(workspace, id string) string {
	if workspace == "" && !isQualified(id) {
		return id
	}
	digest := sha256.Sum256([]byte(workspace))
	return string(idMark) + base64.RawURLEncoding.EncodeToString(digest[:digestBytes]) + string(idMark) + id
}

// CallerID returns the ID that the caller knows.
func CallerID(id string) string {
	if isQualified(id) {
		return id[prefixBytes:]
	}
	return id
}

func isQualified(id string) bool {
	return len(id) >= prefixBytes && id[0] == idMark && id[prefixBytes-1] == idMark
}

// AssignTo makes the job one of a workspace. Its IDs and those of its items, which are the
// caller's before, become qualified ones.
func (j *Job) AssignTo(workspace string) {
	j.Workspace, j.ID = workspace, QualifyID(workspace, j.ID)
	for i := range j.Items {
		j.Items[i].ID = QualifyID(workspace, j.Items[i].ID)
	}
}
