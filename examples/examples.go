// Package examples embeds the example configuration sets.
package examples

import (
	"embed"
	"io/fs"
	"path"
	"sort"

	"github.com/juju/errors"
)

//go:embed grondwater glassround README.md
var files embed.FS

// Readme documents every field of the sets.
//
//go:embed README.md
var Readme string

// File is a file of an example set.
type File struct {
	// Path is relative to the set's directory.
	Path    string
	Content []byte
}

// Names returns the names of the example sets.
func Names() []string {
	return []string{"glassround", "grondwater"}
}

// Set returns the files of the set with a name, sorted by path. It fails with a
// not-found error if there is no such set.
func Set(name string) ([]File, error) {
	var list []File
	err := fs.WalkDir(files, name, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := files.ReadFile(file)
		list = append(list, File{Path: relative(name, file), Content: content})
		return err
	})
	if err != nil {
		return nil, errors.NotFoundf("example set %q (want one of %q)", name, Names())
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Path < list[b].Path })
	return list, nil
}

// relative returns the path of a file below the directory of its set.
func relative(name, file string) string {
	dir, base := path.Split(file)
	return path.Join(dir[min(len(dir), len(name)+1):], base)
}
