package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// bearer returns the key in an Authorization header with the scheme Bearer.
func bearer(value string) (string, bool) {
	scheme, key, ok := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// completion holds the fields of a body that the router needs.
type completion struct {
	model  string
	prompt []byte // raw JSON of messages or prompt
}

// parseCompletion reads the top-level fields of a body. It refuses a second field "model", compared without regard to
// case, because the engine could use a different one from the one that the router checked.
func parseCompletion(body []byte) (completion, error) {
	var out completion
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return out, malformed("body", "the body is not a JSON object")
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return out, malformed("body", "the body is not a JSON object")
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return out, malformed("body", "the value of field %v is malformed", name)
		}
		field, _ := name.(string)
		switch {
		case field == "messages" || field == "prompt":
			out.prompt = value
		case !strings.EqualFold(field, "model"):
		case field != "model" || out.model != "":
			return out, malformed("model", "field model occurs more than once or in another case")
		case json.Unmarshal(value, &out.model) != nil || out.model == "":
			return out, malformed("model", "field model is not a non-empty string")
		}
	}
	if _, err := dec.Token(); err != nil {
		return out, malformed("body", "the body is not a JSON object")
	}
	if _, err := dec.Token(); err != io.EOF {
		return out, malformed("body", "the body goes on after the JSON object")
	}
	if out.model == "" {
		return out, malformed("model", "field model is missing")
	}
	return out, nil
}

func malformed(param, format string, args ...any) error {
	return refuse(http.StatusBadRequest, wire.CodeBadRequest, param, format, args...)
}

// prefixBytes is the length of the prompt prefix that is hashed. Engines cache prefixes in blocks of about this size.
const prefixBytes = 256

// prefixHash returns a hash of the target and the first prefixBytes of the prompt. It returns 0 for a shorter prompt,
// for which a cached prefix would save nothing.
func prefixHash(t engine.Target, prompt []byte) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return hashOf([]byte(t.Model), []byte(t.Adapter), prompt[:prefixBytes])
}

// hashOf hashes the parts, each preceded by its length so that different splits give different hashes.
func hashOf(parts ...[]byte) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.Write(strconv.AppendInt(nil, int64(len(p)), 10))
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(p)
	}
	return d.Sum64()
}

// parseKey returns the canonical form of an idempotency key.
func parseKey(value string) (string, error) {
	if value == "" {
		return "", malformed(HeaderIdempotencyKey, "the call is non-idempotent and needs a key")
	}
	id, err := uuid.Parse(value)
	if err != nil || len(value) != 36 || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", malformed(HeaderIdempotencyKey, "the key is not a UUID of version 7")
	}
	return id.String(), nil
}

// firstSend reports whether the caller asserts that it has not sent the key before.
func firstSend(h http.Header) (bool, error) {
	value := h.Get(HeaderAttempt)
	if value == "" {
		return false, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 {
		return false, malformed(HeaderAttempt, "the attempt is not a whole number of at least 1")
	}
	return n == 1, nil
}

// deadline returns the time by which the answer must begin: now plus the service's maximum wait, or plus the time in
// the deadline header if that is shorter.
func deadline(h http.Header, s *service, now time.Time) (time.Time, error) {
	wait := s.maxWait
	if value := h.Get(HeaderDeadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 1 {
			return now, malformed(HeaderDeadline, "the deadline is not a whole number of milliseconds of at least 1")
		}
		if ms < wait.Milliseconds() {
			wait = time.Duration(ms) * time.Millisecond
		}
	}
	return now.Add(wait), nil
}

// priority returns the service's priority, or a lower one if the caller requests it. Priorities are 0 to 9.
func priority(h http.Header, s *service) (int, error) {
	value := h.Get(HeaderPriority)
	if value == "" {
		return s.priority, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > 9 {
		return 0, malformed(HeaderPriority, "the priority is not a whole number from 0 to 9")
	}
	return min(n, s.priority), nil
}

// checkPath refuses a path that an upstream could resolve to a different path from the one for which the call was
// looked up. Escaped is the full path of the URL, servicePath the decoded part after the service name.
func checkPath(escaped, servicePath string) error {
	lower := strings.ToLower(escaped)
	cleaned := path.Clean(servicePath)
	if strings.HasSuffix(servicePath, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if cleaned != servicePath || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(servicePath, "\\") || strings.Contains(servicePath, ";") {
		return malformed("path", "the path has empty, dot or encoded segments")
	}
	return nil
}

// notForwarded lists request headers that apply to this hop or this system only, or that could make the upstream run a
// different call from the one that was checked.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Cookie": true, "Expect": true, "Host": true,
	"Idempotency-Key": true, "Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Traceparent": true, "Tracestate": true,
	"X-Request-Id": true, "X-Http-Method": true, "X-Http-Method-Override": true, "X-Method-Override": true,
	"X-Original-Url": true, "X-Rewrite-Url": true, "X-Priority": true, "X-Resume-Offset": true, "Accept-Encoding": true,
}

// forwardable returns the headers to forward, sorted by name.
func forwardable(h http.Header) []engine.Header {
	connectionHeaders := map[string]bool{}
	for _, name := range strings.Split(strings.Join(h.Values("Connection"), ","), ",") {
		connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	var out []engine.Header
	for _, name := range sortedNames(h) {
		if notForwarded[name] || connectionHeaders[name] || strings.HasPrefix(name, "Hibiscuscross-") {
			continue
		}
		for _, v := range h[name] {
			out = append(out, engine.Header{Name: name, Value: v})
		}
	}
	return out
}
