package caller

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// serveCompletion handles a completion request, streaming or not.
func (se *Server) serveCompletion(ex *exchange) error {
	contract, err := authenticate(ex)
	if err != nil {
		return err
	}
	class, err := requestedClass(ex, contract)
	if err != nil {
		return err
	}
	body, err := se.readBody(ex)
	if err != nil {
		return err
	}
	if err := se.checkJSON(ex.request.Context(), body); err != nil {
		return err
	}
	cm, err := parseCompletion(ex, body)
	if err != nil {
		return err
	}
	if _, ok := ex.snapshot.Model(cm.model); !ok {
		return modelNotFound(cm.model)
	}
	if !class.AllowsModel(cm.model) {
		return mp.NewError(mp.KindModelNotAllowed, "class %q may not use model %q", class.Name, cm.model)
	}
	cr := &completionRequest{
		server:           se,
		exchange:         ex,
		class:            class,
		completion:       cm,
		body:             body,
		schedulerRequest: newSchedulerRequest(ex, contract, class, cm),
		recorder:         se.meter.StartRequest(contract.Organisation, class),
	}
	return cr.serve()
}

// newSchedulerRequest describes the request to the scheduler. The class's share and
// limits are split evenly over the live hosts of the data centre.
func newSchedulerRequest(ex *exchange, contract *config.Contract, class *config.Class, cm *completion) mp.Request {
	hosts := mp.TokensPerSecond(ex.snapshot.LiveHosts)
	return mp.Request{
		ID:                  ex.id,
		Organisation:        contract.Organisation,
		Class:               class.Name,
		Model:               cm.model,
		Tier:                class.Tier,
		PromptTokens:        cm.promptTokens,
		PrefixID:            cm.prefixID(),
		PrefixTokens:        mp.Tokens(len(cm.prefix) / bytesPerToken),
		MaxAnswerTokens:     cm.maxAnswerTokens,
		FirstTokenTarget:    class.Targets.FirstToken.Std(),
		BetweenTokensTarget: class.Targets.BetweenTokens.Std(),
		MaxWait:             class.MaxWait.Std(),
		PromisedRate:        class.Share.PromisedTokensPerSecond / hosts,
		MaxRate:             class.Share.MaxTokensPerSecond / hosts,
		MaxConcurrency:      concurrencyPerHost(class.Share.MaxConcurrency, ex.snapshot.LiveHosts),
	}
}

// concurrencyPerHost returns one host's fraction of a concurrency limit,
// rounded up; zero (no limit) stays zero.
func concurrencyPerHost(limit, hosts int) int {
	return (limit + hosts - 1) / hosts
}
