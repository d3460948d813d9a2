package peer

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// introductionLifetime is how long another host is taken to know this one after an exchange
	// with it.
	introductionLifetime = memberLifetime / 2
	// introductionTimeout bounds the exchange. A caller waits meanwhile.
	introductionTimeout = 400 * time.Millisecond
)

// introduction is an exchange with another host, which then knows this one. err is set when done
// is closed.
type introduction struct {
	at   time.Time
	done chan struct{}
	err  error
}

// Introduce makes another host know this one, by an exchange unless there was one lately, or the
// host is of the same data centre and gets the load updates of this one. Concurrent calls share
// the exchange. Introduce returns an error if it fails or ctx ends before.
func (no *Node) Introduce(ctx context.Context, remote Address) error {
	in, isNew := no.introduction(remote)
	if in == nil {
		return nil
	}
	if isNew {
		exchanging, cancel := context.WithTimeout(context.WithoutCancel(ctx), introductionTimeout)
		defer cancel()
		_, err := no.exchange(exchanging, remote)
		no.endIntroduction(remote, in, err)
	}
	select {
	case <-in.done:
		return errors.Annotatef(in.err, "introduction to %s", remote)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// introduction returns the last introduction to a host, or a new one, which the caller must make.
// It returns nil if the host needs none.
func (no *Node) introduction(remote Address) (in *introduction, isNew bool) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := no.clock.Now()
	if no.members.members[remote].dataCentre == no.self.DataCentre {
		return nil, false
	}
	for other, in := range no.introductions {
		if now.Sub(in.at) >= introductionLifetime {
			delete(no.introductions, other)
		}
	}
	if in, ok := no.introductions[remote]; ok {
		return in, false
	}
	in = &introduction{at: now, done: make(chan struct{})}
	no.introductions[remote] = in
	return in, true
}

// endIntroduction records how an introduction ended. A failed one is made again.
func (no *Node) endIntroduction(remote Address, in *introduction, err error) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if err != nil {
		delete(no.introductions, remote)
	}
	in.err = err
	close(in.done)
}
