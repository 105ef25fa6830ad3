// Package examples embeds the declaration files of the two shipped examples.
package examples

import (
	"embed"
	"io/fs"

	"github.com/rotisserie/eris"
)

//go:embed association lin
var files embed.FS

// Files returns the declaration files of an example by path.
func Files(name string) (map[string]string, error) {
	contents := make(map[string]string)
	err := fs.WalkDir(files, name, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := files.ReadFile(path)
		contents[path] = string(content)
		return err
	})
	return contents, eris.Wrapf(err, "read example %q", name)
}
