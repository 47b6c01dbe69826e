package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform"
)

// isAttributable reports whether the answer belongs to the request. An answer without an id does so for certain only if it
// is the first one on its connection: a faulty upstream sends extra answers, which arrive where the next one is expected.
func (c *callerRequest) isAttributable(head platform.Answer, success, reused bool) bool {
	switch {
	case head.ID != "":
		return head.ID == c.meta.ID
	case c.meta.ID == "":
		return true // the upstream has no id to echo
	case success:
		return false
	}
	c.g.refusesWithoutID.Store(c.req.Service, true)
	// A repeat after a refusal of another request does a retryable request no harm.
	return !reused || head.NotRun && c.req.Route.Retryable()
}

// maxIdle returns how long a connection may have been idle that is reused for the request.
func (c *callerRequest) maxIdle() time.Duration {
	if c.req.Route.Retryable() {
		return maxIdleRetryable
	}
	if _, ok := c.g.refusesWithoutID.Load(c.req.Service); ok {
		return 0
	}
	return maxIdleNonRetryable
}
