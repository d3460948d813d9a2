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

// ReadDirectory returns the values under a directory: fleet.json,
// contracts/NAME.json and engines/NAME.json.
func ReadDirectory(dir string) (map[mp.ConfigKey]mp.PublishedValue, error) {
	values := map[mp.ConfigKey]mp.PublishedValue{}
	fleet, err := os.ReadFile(filepath.Join(dir, fleetFile))
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Trace(err)
	}
	if err == nil {
		values[FleetKey] = mp.PublishedValue{Key: FleetKey, Value: fleet}
	}
	for _, part := range []string{contractsDir, enginesDir} {
		if err := readPart(values, dir, part); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if len(values) == 0 {
		return nil, errors.NotFoundf("%s or %s/*%s in directory %q", fleetFile, contractsDir, fileSuffix, dir)
	}
	return values, nil
}

// readPart reads every file of a directory's part.
func readPart(values map[mp.ConfigKey]mp.PublishedValue, dir, part string) error {
	paths, err := filepath.Glob(filepath.Join(dir, part, "*"+fileSuffix))
	if err != nil {
		return errors.Trace(err)
	}
	for _, path := range paths {
		value, err := os.ReadFile(path)
		if err != nil {
			return errors.Trace(err)
		}
		name := strings.TrimSuffix(filepath.Base(path), fileSuffix)
		key := mp.ConfigKey(part + "/" + name)
		values[key] = mp.PublishedValue{Key: key, Value: value}
	}
	return nil
}

// FilePath returns the path of a key's file below a directory.
func FilePath(key mp.ConfigKey) string {
	return string(key) + fileSuffix
}
