package follow

// recordFailure marks a store call as failing, and logs the first of a series of
// failures.
func (fo *Follower) recordFailure(call string, err error) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if _, ok := fo.failingSince[call]; ok {
		return
	}
	fo.failingSince[call] = fo.clock.Now()
	fo.logger.Warn().Str("event", "store_lost").Str("call", call).Err(err).Int64("version", int64(fo.view.Load().Version())).
		Dur("list_age_ms", fo.clock.Since(fo.view.Load().ListConfirmedAt)).Msg("store unavailable")
}

// recordSuccess marks a store call as working, and logs the end of a series of
// failures and how long it lasted.
func (fo *Follower) recordSuccess(call string) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	since, ok := fo.failingSince[call]
	if !ok {
		return
	}
	delete(fo.failingSince, call)
	fo.logger.Info().Str("event", "store_regained").Str("call", call).Dur("after", fo.clock.Since(since)).Msg("store available again")
}

// NeedsPeers reports whether the store is unavailable to this host, and no other host
// has confirmed its state within the list interval.
func (fo *Follower) NeedsPeers() bool {
	fo.mu.Lock()
	failing := len(fo.failingSince) > 0
	fo.mu.Unlock()
	return failing && fo.clock.Since(fo.view.Load().ConfirmedAt()) > fo.listInterval
}
