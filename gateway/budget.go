package gateway

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/retry"
)

// mostHosts is by how many hosts the retry slack is divided.
const mostHosts = 100

// countRequest counts a request for the retry budget of its service.
func (ga *Gateway) countRequest(re *request) {
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	ga.budget(re.service).CountRequest(ga.clock.Now())
}

func (ga *Gateway) withdrawRetry(re *request) bool {
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	return ga.budget(re.service).Withdraw(ga.clock.Now())
}

func (ga *Gateway) budget(service mp.ServiceName) *retry.WindowBudget {
	bu, ok := ga.budgets[service]
	if !ok {
		bu = retry.NewWindowBudget(ga.settings.RetryWindow.Std(), ga.settings.RetryRatio, ga.settings.RetrySlack/mostHosts)
		ga.budgets[service] = bu
	}
	return bu
}
