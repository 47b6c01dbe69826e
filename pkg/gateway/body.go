package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

const (
	// bodyTimeout bounds the time in which a request's body makes no progress, if the idle timeout is not shorter.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes bounds a body if the configuration does not.
	defaultBodyBytes = 4 << 20
	// memoryRetryAfter is the mean Retry-After of a request that found no memory: the time after which a stalled body can
	// be ended for it.
	memoryRetryAfter = time.Second
)

// Refusals that are counted by cause.
const (
	refusedTooLarge = "body_too_large"
	refusedTooSlow  = "body_too_slow"
	refusedMemory   = "no_memory"
)

// readBody reserves the memory of the request and reads its body. If it returns false, the request is refused and the
// caller is asked to close the connection.
func (c *callerRequest) readBody(cfg *catalog.Config) bool {
	limits := inbound.BodyLimits{Bytes: defaultBodyBytes, Grace: bodyTimeout}
	if cfg != nil && cfg.Limits.BodyBytes > 0 {
		limits.Bytes = int64(cfg.Limits.BodyBytes)
	}
	if cfg != nil && cfg.Limits.IdleTimeout > 0 {
		limits.Grace = min(limits.Grace, cfg.Limits.IdleTimeout)
	}
	wait, started := c.memoryWait(), time.Now()
	var err error
	if c.holder, err = c.g.memory.Open(c.address(), wait); err == nil {
		limits.MemoryWait = max(time.Nanosecond, wait-time.Since(started))
		c.body, err = inbound.ReadBody(c.w, c.r, c.g.memory, c.holder, limits)
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, inbound.ErrTooLarge):
		c.refuseBody(http.StatusRequestEntityTooLarge, refusedTooLarge, "body exceeds the limit", 0)
	case errors.Is(err, inbound.ErrTooSlow):
		c.refuseBody(http.StatusRequestTimeout, refusedTooSlow, "body did not arrive in time", 0)
	case errors.Is(err, membudget.ErrFull):
		c.refuseBody(http.StatusServiceUnavailable, refusedMemory, "memory for requests is used up", c.memoryRetryAfter())
	default:
		c.releaseMemory()
		c.finish("caller_left", 0, "reason", "body was not received", "err", err)
		panic(http.ErrAbortHandler)
	}
	return false
}

// address returns the client's address. One of another form is one client.
func (c *callerRequest) address() string {
	address, _, _ := net.SplitHostPort(c.r.RemoteAddr)
	return address
}

// memoryWait bounds the waits for the memory of the request and its body together. It leaves the caller time for a retry.
func (c *callerRequest) memoryWait() time.Duration {
	if c.meta.Timeout > 0 {
		return min(inbound.MemoryWait, c.meta.Timeout/3)
	}
	return inbound.MemoryWait
}

// refuseBody refuses a request that has not run, after its memory has been released.
func (c *callerRequest) refuseBody(status int, cause, reason string, after time.Duration) {
	c.releaseMemory()
	c.g.scope.Tagged(map[string]string{"cause": cause}).Counter("refused_bodies_total").Inc(1)
	c.w.Header().Set("Connection", "close")
	c.refuse(status, reason, after)
	if status != http.StatusRequestTimeout { // the client of a body that stopped sends nothing
		inbound.Linger(c.w, c.r)
	}
}

// memoryRetryAfter returns a time around the mean, so that refused callers do not come back together. It is at most a
// third of the caller's time, which is as long as callers wait before a retry.
func (c *callerRequest) memoryRetryAfter() time.Duration {
	after := memoryRetryAfter/2 + rand.N(memoryRetryAfter)
	if c.meta.Timeout > 0 {
		after = min(after, (c.meta.Timeout-time.Since(c.start))/3)
	}
	return max(after, 0)
}

// releaseMemory releases all memory of the request.
func (c *callerRequest) releaseMemory() {
	if c.holder == nil {
		return
	}
	c.g.memory.Close(c.holder)
	c.holder, c.body = nil, nil
}
