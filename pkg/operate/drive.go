package operate

import (
	"context"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// PollInterval is the time between two checks of the grants, and the delay before a failed call is retried.
	PollInterval = time.Second
	// callTimeout bounds a store call. A write without a reply is resolved by reading the object back.
	callTimeout = 5 * time.Second
)

// Run executes the calls of an apply until the apply or ctx ends.
func Run(ctx context.Context, s store.Store, a *Apply) Result {
	for call := a.Next(); call != nil; call = a.Next() {
		if ctx.Err() != nil {
			a.Expire()
			break
		}
		a.HandleReply(execute(ctx, s, call))
	}
	return a.Result()
}

func execute(ctx context.Context, s store.Store, call Call) Reply {
	if _, ok := call.(Pause); ok {
		t := time.NewTimer(PollInterval)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return Reply{}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Reply
	switch call := call.(type) {
	case Get:
		reply.Object, reply.Err = s.Get(ctx, call.Key)
	case List:
		reply.Objects, reply.Version, reply.Err = s.List(ctx, call.Prefix)
	case Put:
		reply.Version, reply.Err = s.Put(ctx, call.Key, call.Value, call.Expect)
	}
	return reply
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
