package host

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mangopaddle/mangopaddle/config"
)

// settingsName names the host among all hosts.
func settingsName(settings config.Settings) string {
	return string(settings.DataCentre) + "/" + string(settings.Host)
}

// seedOf gives each host choices of its own, the same after every restart.
func seedOf(name string) uint64 {
	return xxhash.Sum64String(name)
}
