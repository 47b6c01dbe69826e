// Package httpstore provides the module "store.http": the platform's object API over HTTP.
//
// The protocol: GET, PUT and DELETE on /v1/objects/{key} carry the raw value; the version is the ETag, and the
// expected version of a write is its If-Match ("0" for must not exist). GET /v1/objects?prefix= and
// GET /v1/watch?since=&wait= answer with a Listing; wait is a duration such as "10s". A held watch sends white space
// ahead of its document each WatchSignInterval. Statuses: 404 no object, 412 other version, 410 compacted, 413 value
// too large. Any other status leaves the outcome of a write unknown, unless HeaderEffect says that there was none.
package httpstore

import (
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// HeaderEffect with the value EffectNone on an error answer says that the write did not and will not take effect.
	HeaderEffect = "X-Effect"
	EffectNone   = "none"
	// WatchSignInterval is the time between two signs of life of a held watch.
	WatchSignInterval = 500 * time.Millisecond
	// watchSilence is three missed signs of life; after it the connection counts as dead. A change must be in force
	// within 8 s, so a watch on a silent connection cannot be waited for until its hold ends.
	watchSilence = 3 * WatchSignInterval
)

// Listing is the answer to a list or watch.
type Listing struct {
	Revision uint64  `json:"revision"`
	Objects  []Entry `json:"objects"`
}

// Entry is one object; Value is base64 in JSON.
type Entry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// NewListing returns the listing of objects at a revision.
func NewListing(objects []store.Object, revision uint64) Listing {
	l := Listing{Revision: revision, Objects: make([]Entry, 0, len(objects))}
	for _, o := range objects {
		l.Objects = append(l.Objects, Entry{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return l
}

func (l Listing) objects() []store.Object {
	var out []store.Object
	for _, e := range l.Objects {
		out = append(out, store.Object{Key: e.Key, Version: e.Version, Value: e.Value, Deleted: e.Deleted})
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
