package h1

import (
	"net/http"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Transport is net/http's transport with the checks of Conn.ReadHead that net/http lacks: an answer with a malformed head is
// an error. Informational answers are not checked, as net/http skips them.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections() // that of an answer without a body is idle already
		return nil, fault.Wrap(err, fault.StepTransport, req.URL.Host, "read head")
	}
	return resp, nil
}

// checkHead checks a head that net/http has parsed. It leaves names with blanks as they are; a line that begins with a blank
// has become a part of the value before it.
func checkHead(resp *http.Response) error {
	for name := range resp.Header {
		if err := checkFieldName([]byte(name)); err != nil {
			return err
		}
	}
	return checkStatus(resp.StatusCode)
}
