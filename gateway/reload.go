package gateway

import (
	"reflect"
	"slices"

	"github.com/mangopaddle/mangopaddle/peer"
)

// Reload reads the settings file again. Changed seeds take effect at once; all other
// changes need a restart, and invalid settings are ignored. signalled reports that
// the operator requested the reload; otherwise the result is logged only if
// something has changed.
func (ga *Gateway) Reload(path string, signalled bool) {
	ga.reloadMu.Lock()
	defer ga.reloadMu.Unlock()
	settings, err := ReadSettings(path)
	if err != nil {
		if text := err.Error(); text != ga.lastReloadError || signalled {
			ga.lastReloadError = text
			ga.logger.Error().Str("event", "reload_failed").Err(err).Msg("failed to reload settings; keeping the current ones")
		}
		return
	}
	ga.lastReloadError = ""
	seedsChanged := !slices.Equal(settings.Seeds, ga.settings.Seeds)
	ga.settings.Seeds = settings.Seeds
	ga.peers.SetSeeds(peerAddresses(settings.Seeds))
	needsRestart := !reflect.DeepEqual(settings, ga.settings)
	alreadyLogged := reflect.DeepEqual(settings, ga.pendingSettings)
	ga.pendingSettings = settings
	if !signalled && !seedsChanged && (!needsRestart || alreadyLogged) {
		return
	}
	ga.logger.Info().Str("event", "reloaded").Bool("signalled", signalled).Strs("seeds", settings.Seeds).
		Bool("needs_restart", needsRestart).Msg("settings reloaded")
}

// peerAddresses returns the seeds of the settings as peer addresses.
func peerAddresses(seeds []string) []peer.Address {
	addresses := make([]peer.Address, 0, len(seeds))
	for _, seed := range seeds {
		addresses = append(addresses, peer.Address(seed))
	}
	return addresses
}
