package operate

import (
	"context"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// PollInterval is the time between two looks at holders, and before a failed call is repeated.
	PollInterval = time.Second
	// callTimeout bounds one store call; a write without an answer is settled by reading back.
	callTimeout = 5 * time.Second
)

// Run carries out the calls of an apply until it ends or ctx does.
func Run(ctx context.Context, s store.Store, a *Apply) Result {
	for call := a.Next(); call != nil; call = a.Next() {
		if ctx.Err() != nil {
			a.Expire()
			break
		}
		a.HandleReply(carryOut(ctx, s, call))
	}
	return a.Result()
}

func carryOut(ctx context.Context, s store.Store, call Call) Reply {
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
	var ans Reply
	switch call := call.(type) {
	case Get:
		ans.Object, ans.Err = s.Get(ctx, call.Key)
	case List:
		ans.Objects, ans.Version, ans.Err = s.List(ctx, call.Prefix)
	case Put:
		ans.Version, ans.Err = s.Put(ctx, call.Key, call.Value, call.Expect)
	}
	return ans
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
