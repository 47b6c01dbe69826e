package inbound

import "net/http"

// resetter is a connection whose Close can be made to reset it.
type resetter interface{ SetLinger(seconds int) error }

// AbortAnswer ends an answer that has begun and cannot be completed, so that its client cannot take it for complete. It ends
// the handler. A client of HTTP/1.1 misses the last chunk; one of HTTP/1.0 takes the regular end of its connection for the
// end of the answer, so that connection is reset.
func AbortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if reset, ok := c.(resetter); ok {
				_ = reset.SetLinger(0) // fails only on a connection that is closed already
			}
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
