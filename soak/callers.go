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
	callerDeadline = 6 * time.Second
	// thinkTime lies between two requests of a caller.
	thinkTime = 25 * time.Millisecond
	readyPoll = 300 * time.Millisecond
)

// outcome is what a caller saw of one request.
type outcome struct {
	id         string
	path       string
	key        string
	host       *host
	begin, end time.Time
	status     int // zero without an answer
	signed     bool
	body       string
	err        error // that ended the answer, or came in its place
}

// world is the deployment as callers see it.
type world struct {
	hosts []*host

	mu       sync.Mutex
	ready    []*host
	key      string
	outcomes []outcome
}

func (wo *world) pick(random *rand.Rand) (*host, string) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if len(wo.ready) == 0 {
		return nil, ""
	}
	return wo.ready[random.IntN(len(wo.ready))], wo.key
}

func (wo *world) setKey(key string) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.key = key
}

func (wo *world) note(ou outcome) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.outcomes = append(wo.outcomes, ou)
}

// balance asks the hosts whether they are ready, until the context ends. A host is
// taken out after two refusals.
func (wo *world) balance(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	refusals := map[*host]int{}
	for ctx.Err() == nil {
		var ready []*host
		for _, ho := range wo.hosts {
			if ho.ready(client) {
				refusals[ho] = 0
			} else {
				refusals[ho]++
			}
			if refusals[ho] < 2 {
				ready = append(ready, ho)
			}
		}
		wo.mu.Lock()
		wo.ready = ready
		wo.mu.Unlock()
		sleep(ctx, readyPoll)
	}
}

// call sends requests until the context ends; connections stay open between them.
func (wo *world) call(ctx context.Context, caller int, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		ho, key := wo.pick(random)
		if ho == nil {
			sleep(ctx, readyPoll)
			continue
		}
		paths := []string{fakestore.IdempotentPath, fakestore.NonIdempotentPath, fakestore.NonIdempotentPath, fakestore.ResumableStreamPath, fakestore.NonResumableStreamPath}
		ou := outcome{id: fmt.Sprintf("c%d-%d", caller, number), path: paths[random.IntN(len(paths))], key: key, host: ho}
		wo.note(ask(transport, ou))
		sleep(ctx, thinkTime)
	}
}

// ask sends one request, once, and returns what came of it.
func ask(transport http.RoundTripper, ou outcome) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	ou.begin = time.Now()
	rq, err := fakecaller.Request{
		Address: ou.host.front.Address(), ID: ou.id, APIKey: ou.key, Path: ou.path, Body: strings.Repeat("b", 200), Timeout: callerDeadline,
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
	ou.status, ou.signed, ou.body, ou.err, ou.end = response.StatusCode, fakecaller.Signed(response.Header), string(body), err, time.Now()
	return ou
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
