package h1

import (
	"errors"
	"net/http"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Transport is net/http's transport with the checks of Conn.ReadHead that net/http lacks: an answer with a malformed head is
// an error.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(checkStatus(resp.StatusCode), checkFieldNames(resp.Header)); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections() // that of an answer without a body is idle already
		return nil, fault.Wrap(err, fault.StepTransport, req.URL.Host, "read head")
	}
	return resp, nil
}
