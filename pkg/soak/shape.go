package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Shape is the size of a run and its traffic. The zero value of a field stands for that of the default shape.
type Shape struct {
	Entries, Engines, PlainServices, Callers int
	// SpareEntries is the number of entries that do not run at the start. Disruptions may add them.
	SpareEntries int
	// EventTime is the time in which an upstream generates one event, RequestInterval the time between an answer and the
	// next request of its caller.
	EventTime, RequestInterval time.Duration
	// Mix are the kinds of requests. All are equally frequent, so a kind may be listed several times.
	Mix []Kind
	// LargeBodies is the number of requests with a body of which one has largeBodyBytes; 0 for none.
	LargeBodies int
	// MaxAttempts is the number of upstreams of one attempt of a caller on routes whose requests may be repeated.
	MaxAttempts int
	// NotResumable makes route "report" one whose streams must not be resumed or repeated.
	NotResumable bool
	// CallersResume lets callers resume a broken stream of a resumable route at another entry.
	CallersResume bool
	// HonourRetryAfter lets callers wait as long as a refusal asks them to, up to maxRetryAfter.
	HonourRetryAfter bool
	// Retries is the limit on retries.
	Retries standin.RetryLimit
}

// Kind is a kind of requests: the route and, for streams, the number of events.
type Kind struct {
	Route  string
	Events int
}

func kinds(events int, routes ...string) []Kind {
	var list []Kind
	for _, r := range routes {
		list = append(list, Kind{Route: r, Events: events})
	}
	return list
}

// streams returns the kinds that are streams.
func streams(kinds []Kind) []Kind {
	return slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return k.Events == 0 })
}

var (
	defaultShape = Shape{
		Entries: 3, Engines: 4, PlainServices: 2, Callers: 8, EventTime: 10 * time.Millisecond, RequestInterval: 25 * time.Millisecond,
		Mix: slices.Concat(kinds(standin.EventsPerStream, "report", "chat"), plainKinds), MaxAttempts: 2, Retries: standin.DefaultRetryLimit,
	}
	plainKinds = kinds(0, "loan", "lookup", "new")
	// shapes are named after the users' deployments. They have their sizes, kinds of requests and limits on retries, and
	// about as many requests a second.
	shapes = map[string]Shape{
		"default": {},
		"traitvif": {
			Entries: 4, SpareEntries: 2, Engines: 9, PlainServices: 3, Callers: 48, CallersResume: true, HonourRetryAfter: true, LargeBodies: 16, Retries: retryLimit(54), RequestInterval: 150 * time.Millisecond,
			Mix: slices.Concat(kinds(47, "chat", "chat", "chat", "report", "report"), kinds(8, "chat", "chat"), plainKinds),
		},
		"vanstops": {
			Entries: 5, SpareEntries: 5, Engines: 9, PlainServices: 3, Callers: 24, CallersResume: true, HonourRetryAfter: true, LargeBodies: 16, Retries: retryLimit(58), RequestInterval: 400 * time.Millisecond,
			Mix: slices.Concat(kinds(13, "chat", "chat", "report"), kinds(73, "chat", "chat", "report"), plainKinds),
		},
		"bluemahoe": {
			Entries: 4, SpareEntries: 4, Engines: 9, PlainServices: 3, Callers: 24, CallersResume: true, HonourRetryAfter: true, LargeBodies: 16, Retries: retryLimit(54), RequestInterval: 400 * time.Millisecond,
			Mix: slices.Concat(kinds(13, "chat", "chat", "report"), kinds(73, "chat", "chat", "chat"), plainKinds),
		},
		"large": {
			Entries: 27, SpareEntries: 3, Engines: 30, PlainServices: 6, Callers: 90, CallersResume: true, HonourRetryAfter: true, LargeBodies: 16, Retries: retryLimit(106),
			RequestInterval: 200 * time.Millisecond, Mix: slices.Concat(kinds(17, "chat", "chat", "report"), kinds(97, "chat", "chat"), plainKinds),
		},
	}
)

func retryLimit(burst float64) standin.RetryLimit {
	l := standin.DefaultRetryLimit
	l.Burst = burst
	return l
}

// ShapeNamed returns the shape with the name.
func ShapeNamed(name string) (Shape, error) {
	s, ok := shapes[name]
	if !ok {
		return s, fmt.Errorf("no shape is named %q, only %v", name, slices.Sorted(maps.Keys(shapes)))
	}
	return s, nil
}

// withDefaults returns the shape with the values of the default shape where it has none.
func (s Shape) withDefaults() Shape {
	d := defaultShape
	setDefault(&s.Entries, d.Entries)
	setDefault(&s.Engines, d.Engines)
	setDefault(&s.PlainServices, d.PlainServices)
	setDefault(&s.Callers, d.Callers)
	setDefault(&s.EventTime, d.EventTime)
	setDefault(&s.RequestInterval, d.RequestInterval)
	setDefault(&s.MaxAttempts, d.MaxAttempts)
	setDefault(&s.Retries, d.Retries)
	if s.Mix == nil {
		s.Mix = d.Mix
	}
	return s
}

func setDefault[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}

// allEntries returns the number of entries with those that are added later.
func (s Shape) allEntries() int { return s.Entries + s.SpareEntries }
