package gateway

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/retry"
)

// observeHosts records the number of live hosts of this data centre, by which the retry
// slack is divided. While the host is starting it knows too few of them.
func (ga *Gateway) observeHosts(local int) {
	if ga.isStarting() {
		return
	}
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	ga.retrySlack.Observe(local)
}

// creditRetryBudget records a request in the retry budget of its service.
func (ga *Gateway) creditRetryBudget(re *request) {
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	ga.retryBudget(re.service).Deposit(ga.clock.Now())
}

// withdrawRetry reports whether the retry budget of the service allows a retry,
// and takes it from the budget.
func (ga *Gateway) withdrawRetry(re *request) bool {
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	return ga.retryBudget(re.service).Withdraw(ga.clock.Now(), ga.retrySlack.Part())
}

// retryBudget returns the retry budget of a service, creating it on first use. The
// caller must hold budgetMu.
func (ga *Gateway) retryBudget(service mp.ServiceName) *retry.WindowBudget {
	bu, ok := ga.retryBudgets[service]
	if !ok {
		bu = retry.NewWindowBudget(ga.settings.RetryWindow.Std(), ga.settings.RetryRatio)
		ga.retryBudgets[service] = bu
	}
	return bu
}
