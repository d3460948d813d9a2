package gateway

import (
	"reflect"
	"slices"

	"github.com/mangopaddle/mangopaddle/peer"
)

// Reload reads the settings file again. Seeds come into force; other changes need
// a restart. Settings that are not valid change nothing. Signalled says that the
// operator asked for it; otherwise only a change is logged.
func (ga *Gateway) Reload(path string, signalled bool) {
	ga.reloadMu.Lock()
	defer ga.reloadMu.Unlock()
	settings, err := ReadSettings(path)
	if err != nil {
		if text := err.Error(); text != ga.reloadFault || signalled {
			ga.reloadFault = text
			ga.logger.Error().Str("event", "reload_failed").Err(err).Msg("the settings in force stay")
		}
		return
	}
	ga.reloadFault = ""
	seeds := !slices.Equal(settings.Seeds, ga.settings.Seeds)
	ga.settings.Seeds = settings.Seeds
	ga.peers.SetSeeds(addresses(settings.Seeds))
	restart := !reflect.DeepEqual(settings, ga.settings)
	logged := reflect.DeepEqual(settings, ga.waiting)
	ga.waiting = settings
	if !signalled && !seeds && (!restart || logged) {
		return
	}
	ga.logger.Info().Str("event", "reloaded").Bool("signalled", signalled).Strs("seeds", settings.Seeds).
		Bool("needs_restart", restart).Msg("settings in force")
}

func addresses(texts []string) []peer.Address {
	list := make([]peer.Address, 0, len(texts))
	for _, text := range texts {
		list = append(list, peer.Address(text))
	}
	return list
}
