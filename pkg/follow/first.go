package follow

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// firstAgain is the time without an answer after which a second call is made while nothing is known of the kind; each
	// further one follows after half as long again. A call that begins while the store is silent may stay without an answer
	// after the store has come back, and the process can serve nobody before it has one.
	firstAgain = 300 * time.Millisecond
	// maxCalls bounds the calls beside each other.
	maxCalls = 5
)

// listing is the answer to a list call.
type listing struct {
	objects  []platform.Object
	revision uint64
	err      error
}

// read lists the kind. While nothing is known of it, calls that stay without an answer are not waited for: others are made
// beside them, and the first answer counts. A store that is slow answers the first one, one that was silent a later one.
func (f *Follower) read(ctx context.Context) ([]platform.Object, uint64, error) {
	if f.listed {
		return f.src.List(ctx, f.kind)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan listing, maxCalls)
	call := func() {
		objects, revision, err := f.src.List(ctx, f.kind)
		answers <- listing{objects: objects, revision: revision, err: err}
	}
	go call()
	again := firstAgain
	timer := time.NewTimer(again)
	defer timer.Stop()
	for open, calls := 1, 1; ; {
		select {
		case a := <-answers:
			if open--; a.err == nil || open == 0 {
				return a.objects, a.revision, a.err
			}
		case <-timer.C:
			if calls == maxCalls {
				continue
			}
			go call()
			open, calls = open+1, calls+1
			again += again / 2
			timer.Reset(again)
		}
	}
}
