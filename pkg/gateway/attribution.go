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
	}
	return !success && !reused
}

// recordIDs records whether the service names the requests that it fails.
func (c *callerRequest) recordIDs(head platform.Answer, success bool) {
	switch {
	case success || c.meta.ID == "":
	case head.ID == "":
		c.g.failsWithoutID.Store(c.req.Service, true)
	default:
		c.g.failsWithoutID.Delete(c.req.Service)
	}
}

// maxIdle returns how long a connection may have been idle that is reused for the request. Where failures have no id, only
// a new connection shows that a refusal is that of the request.
func (c *callerRequest) maxIdle() time.Duration {
	if _, ok := c.g.failsWithoutID.Load(c.req.Service); ok {
		return 0
	}
	if c.req.Route.Retryable() {
		return maxIdleRetryable
	}
	return maxIdleNonRetryable
}
