package api

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// bodyTimeout bounds the time in which a body makes no progress.
	bodyTimeout = 30 * time.Second
	// forwardCopies is the number of copies of a body while it is sent to an agent: the message and its frame.
	forwardCopies = 2
	// defaultMemory is assumed in bytes if the process has no memory limit.
	defaultMemory = 512 << 20
	// maxMemoryRetryMS is the longest Retry-After, in ms, of a request that found no memory.
	maxMemoryRetryMS = 3000
)

// Keys of the context of a request: its memory, whether its body has been read or refused, and whether it was refused while
// it was still arriving.
const (
	keyHolder   = "memory-holder"
	keyBodyRead = "body-read"
	keyArriving = "body-arriving"
)

// SetMemory sets the account of the process's memory. It must be called before the first request.
func (s *Server) SetMemory(account *membudget.Account) { s.memory = account }

// readBody returns the complete body of the request. Its memory is reserved before it is read, and released at the end of
// the request.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	address, _, _ := net.SplitHostPort(c.Request().RemoteAddr) // an address of another form is one client
	holder, err := s.memory.Open(address, inbound.MemoryWait)
	c.Set(keyHolder, holder)
	c.Set(keyBodyRead, true)
	var body []byte
	if err == nil {
		body, err = s.readReserved(c, holder)
	}
	if err == nil {
		return body, nil
	}
	s.releaseMemory(c)
	return nil, refuseBody(c, err)
}

func (s *Server) readReserved(c echo.Context, holder *membudget.Holder) ([]byte, error) {
	parts, err := inbound.ReadBody(c.Response().Writer, c.Request(), s.memory, holder, inbound.BodyLimits{Bytes: MaxBodyBytes, Grace: bodyTimeout})
	if err != nil {
		return nil, err
	}
	size := parts.Len()
	if err := s.memory.Reserve(holder, forwardCopies*size, inbound.MemoryWait); err != nil {
		return nil, err
	}
	switch len(parts) {
	case 0:
		return nil, nil
	case 1:
		return parts[0], nil
	}
	return bytes.Join(parts, nil), nil // the parts are garbage before the copies for the agent are made
}

// refuseBody returns the refusal for a body that was not read. Nothing has been forwarded, and the caller is asked to
// close the connection.
func refuseBody(c echo.Context, err error) error {
	c.Response().Header().Set("Connection", "close")
	c.Set(keyArriving, errors.Is(err, inbound.ErrTooLarge) || errors.Is(err, membudget.ErrFull))
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, codeTooLarge, "body", "the body is larger than %d bytes", MaxBodyBytes)
	case errors.Is(err, inbound.ErrTooSlow):
		return refuse(http.StatusRequestTimeout, codeTooSlow, "body", "the body did not arrive in time")
	case errors.Is(err, membudget.ErrFull):
		return &refusal{status: http.StatusServiceUnavailable, code: wire.CodeNoMemory, message: "the router's memory for requests is used up", retryAfterMS: 1 + rand.Int64N(maxMemoryRetryMS)}
	}
	return refuse(http.StatusBadRequest, wire.CodeBadRequest, "body", "the body cannot be read")
}

// releaseMemory releases the memory of the request.
func (s *Server) releaseMemory(c echo.Context) {
	if h, ok := c.Get(keyHolder).(*membudget.Holder); ok {
		s.memory.Close(h)
		c.Set(keyHolder, nil)
	}
}
