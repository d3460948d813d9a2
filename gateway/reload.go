package gateway

import (
	"bytes"
	"os"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/peer"
)

// Reload reads the settings file again if it has changed. Seeds come into force;
// other changes need a restart and are logged. Settings that are not valid change
// nothing.
func (ga *Gateway) Reload(path, reason string) {
	data, err := os.ReadFile(path)
	if err != nil {
		ga.logger.Error().Str("event", "reload_failed").Str("reason", reason).Err(err).Msg("the settings in force stay")
		return
	}
	ga.reloadMu.Lock()
	defer ga.reloadMu.Unlock()
	if bytes.Equal(data, ga.settingsData) {
		return
	}
	ga.settingsData = data
	settings, err := DecodeSettings(data)
	if err != nil {
		ga.logger.Error().Str("event", "reload_failed").Str("reason", reason).Err(errors.Annotatef(err, "settings file %s", path)).
			Msg("the settings in force stay")
		return
	}
	ga.peers.SetSeeds(addresses(settings.Seeds))
	ga.logger.Info().Str("event", "reloaded").Str("reason", reason).Strs("seeds", settings.Seeds).Msg("settings in force")
}

func addresses(texts []string) []peer.Address {
	list := make([]peer.Address, 0, len(texts))
	for _, text := range texts {
		list = append(list, peer.Address(text))
	}
	return list
}
