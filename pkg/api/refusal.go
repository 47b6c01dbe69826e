package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Codes of refusals that only this package issues.
const (
	codeUnauthorized wire.Code = "unauthorized"
	codeNotFound     wire.Code = "not_found"
	codeTooLarge     wire.Code = "too_large"
	codeTooSlow      wire.Code = "too_slow"
	codeInternal     wire.Code = "internal"
)

// refusal is an error answer that the router itself sends to the caller.
type refusal struct {
	status       int
	code         wire.Code
	param        string // field or header at fault
	message      string
	outcome      wire.Outcome // zero if nothing was forwarded
	retryAfterMS int64
}

func (r *refusal) Error() string { return string(r.code) + ": " + r.message }

func refuse(status int, code wire.Code, param, format string, args ...any) error {
	return &refusal{status: status, code: code, param: param, message: fmt.Sprintf(format, args...)}
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code    wire.Code `json:"code"`
	Message string    `json:"message"`
	Outcome string    `json:"outcome"`
	Param   string    `json:"param,omitempty"`
}

func (r *refusal) body() errorBody {
	return errorBody{Error: errorFields{Code: r.code, Message: r.message, Outcome: r.outcome.String(), Param: r.param}}
}

// onError writes err as a refusal. Echo's own errors (unknown path or method) are converted to refusals.
func (s *Server) onError(err error, c echo.Context) {
	var r *refusal
	var e *echo.HTTPError
	switch {
	case errors.As(err, &r):
	case errors.As(err, &e):
		r = &refusal{status: e.Code, code: codeNotFound, param: "path", message: fmt.Sprint(e.Message)}
	default:
		r = &refusal{status: http.StatusInternalServerError, code: codeInternal, message: "the router failed", outcome: wire.OutcomeUnknown}
	}
	if c.Response().Committed {
		return
	}
	if r.outcome == 0 {
		r.outcome = unforwardedOutcome(c.Request())
	}
	h := c.Response().Header()
	h.Set(HeaderOutcome, r.outcome.String())
	if r.status >= http.StatusInternalServerError || r.retryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt(max(1, (r.retryAfterMS+999)/1000), 10))
	}
	arriving, _ := c.Get(keyArriving).(bool)
	if read, _ := c.Get(keyBodyRead).(bool); !read && c.Request().ContentLength != 0 {
		// net/http would read the rest of the body before the answer, without a bound on the time.
		h.Set("Connection", "close")
		arriving = true
	}
	_ = c.JSON(r.status, r.body())
	if arriving {
		inbound.Linger(c.Response().Writer, c.Request())
	}
}

// unforwardedOutcome returns the outcome of a request that was not forwarded. An earlier request with the same key may
// have run, so only a request that the caller marks as the first with its key is confirmed not run.
func unforwardedOutcome(r *http.Request) wire.Outcome {
	if !strings.HasPrefix(r.URL.Path, "/services/") || r.Header.Get(HeaderAttempt) == "1" {
		return wire.OutcomeNotRun
	}
	if _, err := parseKey(r.Header.Get(HeaderIdempotencyKey)); err != nil {
		return wire.OutcomeNotRun // such a key is never accepted
	}
	return wire.OutcomeUnknown
}

// fromWire converts the refusal of the router core or of an agent.
func fromWire(m *wire.Refuse) *refusal {
	return &refusal{
		status: statusOf(m), code: m.Code, param: paramOf(m.Code), message: m.Reason, outcome: m.Outcome,
		retryAfterMS: m.RetryAfterMS,
	}
}

func statusOf(m *wire.Refuse) int {
	switch m.Code {
	case wire.CodeBadRequest, wire.CodeKeyInFuture:
		return http.StatusBadRequest
	case wire.CodeKeyTooOld:
		return http.StatusConflict
	case wire.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case wire.CodeExpired:
		return http.StatusGatewayTimeout
	case wire.CodePeerLost, wire.CodeUpstreamDown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func paramOf(c wire.Code) string {
	switch c {
	case wire.CodeKeyInFuture, wire.CodeKeyTooOld:
		return HeaderIdempotencyKey
	case wire.CodeBadRequest, wire.CodeQuarantined:
		return "body"
	}
	return ""
}

// trailingEvent returns the events that end a model's stream. For a truncated stream, an unnamed error event comes
// first, because clients that ignore named events report that one.
func trailingEvent(outcome wire.Outcome, r *refusal) []byte {
	if r == nil {
		return fmt.Appendf(nil, "event: %s\ndata: {\"outcome\":%q}\n\n", EventOutcome, outcome)
	}
	body := r.body()
	b, _ := json.Marshal(body) // strings only
	named, _ := json.Marshal(struct {
		Outcome string      `json:"outcome"`
		Error   errorFields `json:"error"`
	}{outcome.String(), body.Error})
	return fmt.Appendf(nil, "data: %s\n\nevent: %s\ndata: %s\n\n", b, EventOutcome, named)
}
