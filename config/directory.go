package config

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	fleetFile    = "fleet.json"
	contractsDir = "contracts"
	enginesDir   = "engines"
	fileSuffix   = ".json"
)

// ReadDirectory reads a configuration set from the files below a directory:
// fleet.json, contracts/NAME.json and engines/NAME.json. It returns the raw values by
// key, or a not-found error if there are no such files.
func ReadDirectory(dir string) (map[mp.ConfigKey]mp.PublishedValue, error) {
	values := map[mp.ConfigKey]mp.PublishedValue{}
	fleet, err := os.ReadFile(filepath.Join(dir, fleetFile))
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Trace(err)
	}
	if err == nil {
		values[FleetKey] = mp.PublishedValue{Key: FleetKey, Value: fleet}
	}
	for _, subdir := range []string{contractsDir, enginesDir} {
		if err := readSubdirectory(values, dir, subdir); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if len(values) == 0 {
		return nil, errors.NotFoundf("%s or %s/*%s in directory %q", fleetFile, contractsDir, fileSuffix, dir)
	}
	return values, nil
}

// readSubdirectory adds the values in the files of a subdirectory.
func readSubdirectory(values map[mp.ConfigKey]mp.PublishedValue, dir, subdir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, subdir, "*"+fileSuffix))
	if err != nil {
		return errors.Trace(err)
	}
	for _, path := range paths {
		value, err := os.ReadFile(path)
		if err != nil {
			return errors.Trace(err)
		}
		name := strings.TrimSuffix(filepath.Base(path), fileSuffix)
		key := mp.ConfigKey(subdir + "/" + name)
		values[key] = mp.PublishedValue{Key: key, Value: value}
	}
	return nil
}

// FilePath returns the path of the file for a key, relative to the directory.
func FilePath(key mp.ConfigKey) string {
	return string(key) + fileSuffix
}
