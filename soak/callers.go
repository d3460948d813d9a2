package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangopaddle/mangopaddle/platform/fakecaller"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

const (
	callerTimeout = 6 * time.Second
	// thinkTime is the pause between two requests of a caller.
	thinkTime = 25 * time.Millisecond
	// requestsPerHost is the number of requests after which a caller that keeps to its
	// connection chooses another host.
	requestsPerHost       = 20
	readinessPollInterval = 300 * time.Millisecond
)

// outcome is the result of one request as seen by its caller.
type outcome struct {
	id         string
	path       string
	apiKey     string
	host       *host
	begin, end time.Time
	status     int // zero without a response
	signed     bool
	body       string
	closes     bool  // the response announced that the host closes the connection
	err        error // error before or during the response
}

// callerState is the state that callers share: the hosts they may use, the
// current API key and the outcomes.
type callerState struct {
	hosts []*host

	mu       sync.Mutex
	ready    []*host
	apiKey   string
	outcomes []outcome
}

// pickHost returns a random ready host and the current API key. The host is nil if
// none is ready.
func (cs *callerState) pickHost(random *rand.Rand) (*host, string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.ready) == 0 {
		return nil, cs.apiKey
	}
	return cs.ready[random.IntN(len(cs.ready))], cs.apiKey
}

func (cs *callerState) setAPIKey(apiKey string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.apiKey = apiKey
}

func (cs *callerState) currentAPIKey() string {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.apiKey
}

func (cs *callerState) record(ou outcome) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.outcomes = append(cs.outcomes, ou)
}

// pollReadiness polls the hosts' readiness until the context ends, as a load
// balancer does. A host is taken out after two consecutive failed checks.
func (cs *callerState) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := map[*host]int{}
	for ctx.Err() == nil {
		var ready []*host
		for _, ho := range cs.hosts {
			if ho.ready(client) {
				failures[ho] = 0
			} else {
				failures[ho]++
			}
			if failures[ho] < 2 {
				ready = append(ready, ho)
			}
		}
		cs.mu.Lock()
		cs.ready = ready
		cs.mu.Unlock()
		sleep(ctx, readinessPollInterval)
	}
}

// runCaller sends requests one after another until the context ends. Connections are kept
// open between them. Every second caller uses an open connection until the host closes it,
// also if the host is not ready any more.
func (cs *callerState) runCaller(ctx context.Context, caller int, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var last outcome
	for number := 0; ctx.Err() == nil; number++ {
		ho, apiKey := cs.pickHost(random)
		if caller%2 == 0 && last.host != nil && last.err == nil && !last.closes && number%requestsPerHost > 0 {
			ho = last.host
		}
		if ho == nil {
			sleep(ctx, readinessPollInterval)
			continue
		}
		// The non-idempotent path is twice as likely as each of the others.
		paths := []string{fakestore.IdempotentPath, fakestore.NonIdempotentPath, fakestore.NonIdempotentPath, fakestore.ResumableStreamPath, fakestore.NonResumableStreamPath}
		ou := outcome{id: fmt.Sprintf("c%d-%d", caller, number), path: paths[random.IntN(len(paths))], apiKey: apiKey, host: ho}
		last = sendRequest(transport, ou)
		cs.record(last)
		sleep(ctx, thinkTime)
	}
}

// sendRequest sends a request once, without retries, and returns its outcome. An
// error is part of the outcome.
func sendRequest(transport http.RoundTripper, ou outcome) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	ou.begin = time.Now()
	rq, err := fakecaller.Request{
		Address: ou.host.callerProxy.Address(), ID: ou.id, APIKey: ou.apiKey, Path: ou.path, Body: strings.Repeat("b", 200), Timeout: callerTimeout,
	}.HTTPRequest(ctx)
	if err != nil {
		ou.err, ou.end = err, time.Now()
		return ou
	}
	response, err := transport.RoundTrip(rq)
	if err != nil {
		ou.err, ou.end = err, time.Now()
		return ou
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	ou.status, ou.signed, ou.body, ou.closes = response.StatusCode, fakecaller.Signed(response.Header), string(body), response.Close
	ou.err, ou.end = err, time.Now()
	return ou
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
