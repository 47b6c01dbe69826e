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
	// A repeat after a refusal of another request does a retryable request no harm.
	return !reused || head.NotRun && c.req.Route.Retryable()
}

// recordIDs records whether the service names the requests that it fails.
func (c *callerRequest) recordIDs(head platform.Answer, success bool) {
	if !success && head.ID == "" && c.meta.ID != "" {
		c.g.failsWithoutID.Store(c.req.Service, true)
	}
}

// maxIdle returns how long a connection may have been idle that is reused for the request. Where failures have no id, only
// a new connection shows that a refusal is that of a request which must not be repeated.
func (c *callerRequest) maxIdle() time.Duration {
	if c.req.Route.Retryable() {
		return maxIdleRetryable
	}
	if _, ok := c.g.failsWithoutID.Load(c.req.Service); ok {
		return 0
	}
	return maxIdleNonRetryable
}
