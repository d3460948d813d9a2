package caller

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// serveCompletion answers a completion, as a stream or whole.
func (se *Server) serveCompletion(ex *exchange) error {
	contract, err := authenticate(ex)
	if err != nil {
		return err
	}
	class, err := classOf(ex, contract)
	if err != nil {
		return err
	}
	body, err := se.readBody(ex)
	if err != nil {
		return err
	}
	if err := se.checkJSON(body); err != nil {
		return err
	}
	cm, err := parse(ex, body)
	if err != nil {
		return err
	}
	if _, ok := ex.snapshot.Model(cm.model); !ok {
		return modelNotFound(cm.model)
	}
	if !class.AllowsModel(cm.model) {
		return mp.NewError(mp.KindModelNotAllowed, "class %q may not use model %q", class.Name, cm.model)
	}
	ru := &run{
		server:   se,
		exchange: ex,
		class:    class,
		request:  cm,
		body:     body,
		work:     work(ex, contract, class, cm),
		outcome:  se.meter.StartRequest(contract.Organisation, class),
	}
	return ru.serve()
}

// work describes the request to the scheduler. Shares are split evenly over
// the data centre's hosts.
func work(ex *exchange, contract *config.Contract, class *config.Class, cm *completion) mp.Request {
	hosts := mp.TokensPerSecond(ex.snapshot.LiveHosts)
	return mp.Request{
		ID:                  ex.id,
		Organisation:        contract.Organisation,
		Class:               class.Name,
		Model:               cm.model,
		Tier:                class.Tier,
		PromptTokens:        cm.prompt,
		PrefixID:            cm.prefixID(),
		PrefixTokens:        mp.Tokens(len(cm.prefix) / bytesPerToken),
		MaxAnswerTokens:     cm.answerLimit,
		FirstTokenTarget:    class.Targets.FirstToken.Std(),
		BetweenTokensTarget: class.Targets.BetweenTokens.Std(),
		MaxWait:             class.MaxWait.Std(),
		PromisedRate:        class.Share.PromisedTokensPerSecond / hosts,
		MaxRate:             class.Share.MaxTokensPerSecond / hosts,
		MaxConcurrency:      concurrency(class.Share.MaxConcurrency, ex.snapshot.LiveHosts),
	}
}

// concurrency returns a host's part of a limit, rounded up; zero stays zero.
func concurrency(limit, hosts int) int {
	return (limit + hosts - 1) / hosts
}
