// Package httpstore provides the module "store.http": the platform's object API over HTTP.
//
// The protocol: GET, PUT and DELETE on /v1/objects/{key} carry the raw value; the version is the ETag, and the
// expected version of a write is its If-Match ("0" for must not exist). GET /v1/objects?prefix= and
// GET /v1/watch?since=&wait= answer with a Listing; wait is a duration such as "10s". A held watch sends white space
// ahead of its document each WatchSignInterval. Statuses: 404 no object, 412 other version, 410 compacted, 413 value
// too large. Any other status leaves the outcome of a write unknown, unless HeaderEffect says that there was none.
//
// Answers may be compressed with gzip: a configuration of 9,500 adapters changes 900 times a day, and uncompressed it
// would take more than the 4 KB/s that a process may use.
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
	// HeaderEffect with the value EffectNone on an error answer says that the write did not and will not take effect.
	HeaderEffect = "X-Effect"
	EffectNone   = "none"
	// WatchHeartbeatInterval is the time between two signs of life of a held watch.
	WatchHeartbeatInterval = time.Second
	// watchSilence is three missed signs of life; after it the connection counts as dead. A change must be in force
	// within 8 s, so a watch on a silent connection cannot be waited for until its hold ends. After 3 s of silence the
	// next watch begins 4 to 6 s after the one that went silent.
	watchSilence = 3 * WatchHeartbeatInterval
)

// Listing is the answer to a list or watch.
type Listing struct {
	Revision uint64  `json:"revision"`
	Objects  []Entry `json:"objects"`
}

// Entry is one object. The value is in Text if it is valid UTF-8, or else in Value, which is base64 in JSON: base64 of
// the text would be larger and compress worse.
type Entry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// NewListing returns the listing of objects at a revision.
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

// ETag formats a version.
func ETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseETag parses a version.
func ParseETag(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	return v, fault.Wrap(err, fault.StepStore, "", "parse version")
}
