package host

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mangopaddle/mangopaddle/config"
)

// qualifiedName returns a name that is unique among all hosts.
func qualifiedName(settings config.Settings) string {
	return string(settings.DataCentre) + "/" + string(settings.Host)
}

// schedulerSeed returns the seed of the scheduler's random choices, a hash of the
// host's name. It differs between hosts, so that each makes choices of its own,
// and is the same after every restart of a host.
func schedulerSeed(name string) uint64 {
	return xxhash.Sum64String(name)
}
