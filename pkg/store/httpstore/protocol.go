// Package httpstore provides the module "store.http": the platform's object API over HTTP.
//
// The protocol: GET, PUT and DELETE on /v1/objects/{key} carry the raw value; the version is the ETag, and the
// expected version of a write is its If-Match ("0" for must not exist). GET /v1/objects?prefix= and
// GET /v1/watch?since=&wait= return a Listing; wait is a duration such as "10s". While a watch waits, the server sends
// white space every WatchHeartbeatInterval, ahead of the JSON document. Statuses: 404 no object, 412 other version,
// 410 compacted, 413 value too large. Any other error status leaves the outcome of a write unknown, unless HeaderEffect
// has the value EffectNone.
//
// Responses may be compressed with gzip: a configuration of 9,500 adapters changes 900 times a day, and uncompressed
// it would exceed the 4 KB/s that a process may use.
package httpstore

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// HeaderEffect is the header that has the value EffectNone in an error response if the write did not and will not
	// take effect.
	HeaderEffect = "X-Effect"
	EffectNone   = "none"
	// WatchHeartbeatInterval is the time between two heartbeats of a waiting watch.
	WatchHeartbeatInterval = time.Second
	// watchLivenessTimeout is the time of three missed heartbeats, after which a connection counts as dead. A change
	// must be active within 8 s, which is too short to wait for the end of a long poll on a dead connection. With 3 s,
	// the next watch starts 4 to 6 s after the start of the one that became unresponsive.
	watchLivenessTimeout = 3 * WatchHeartbeatInterval
)

// Listing is the response to a list or watch.
type Listing struct {
	Revision uint64  `json:"revision"`
	Objects  []Entry `json:"objects"`
}

// Entry is one object of a Listing. Its value is in Text if it is valid UTF-8, and otherwise in Value, which is base64
// in JSON: text as base64 would be larger and compress worse.
type Entry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// NewListing returns the listing of the objects at a revision.
func NewListing(objects []store.Object, revision uint64) Listing {
	l := Listing{Revision: revision, Objects: make([]Entry, 0, len(objects))}
	for _, o := range objects {
		e := Entry{Key: o.Key, Version: o.Version, Deleted: o.Deleted}
		if utf8.Valid(o.Value) {
			e.Text = string(o.Value)
		} else {
			e.Value = o.Value
		}
		l.Objects = append(l.Objects, e)
	}
	return l
}

func (l Listing) objects() []store.Object {
	var out []store.Object
	for _, e := range l.Objects {
		value := e.Value
		if e.Text != "" {
			value = []byte(e.Text)
		}
		out = append(out, store.Object{Key: e.Key, Version: e.Version, Value: value, Deleted: e.Deleted})
	}
	return out
}

// ETag returns the ETag of a version.
func ETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseETag returns the version of an ETag.
func ParseETag(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	return v, fault.Wrap(err, fault.StepStore, "", "parse version")
}
