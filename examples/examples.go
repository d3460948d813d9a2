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

// Readme is the page that explains every field of the sets.
//
//go:embed README.md
var Readme string

// File is a file of an example set.
type File struct {
	// Path is relative to the set's directory.
	Path    string
	Content []byte
}

// Names returns the names of the sets.
func Names() []string {
	return []string{"glassround", "grondwater"}
}

// Set returns the files of a set, in the order of their paths.
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

func relative(name, file string) string {
	dir, base := path.Split(file)
	return path.Join(dir[min(len(dir), len(name)+1):], base)
}
