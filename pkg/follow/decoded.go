package follow

import (
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Configs returns a handler that passes each valid version of the operator's configuration to apply, with the revision
// of its object. Invalid versions are logged and ignored.
func Configs(log *eventlog.Log, apply func(c *catalog.Config, revision uint64)) Handler {
	decode := func(objects []platform.Object) {
		for _, o := range objects {
			if o.Name != platform.NameConfig || o.Deleted {
				continue
			}
			c, err := platform.DecodeConfig(o.Spec)
			if err != nil {
				log.State("configuration is invalid, keeping the last valid one", "revision", o.Revision, "err", err)
				continue
			}
			apply(c, o.Revision)
		}
	}
	return Handler{Listed: decode, Changed: decode}
}

// UpstreamHandler receives the decoded entries of upstreams. Its functions are called from one goroutine.
type UpstreamHandler struct {
	// Listed is called with all entries, Put with a new or changed one, and Removed with the id of a removed one.
	Listed  func([]catalog.Upstream)
	Put     func(u catalog.Upstream, revision uint64)
	Removed func(id string, revision uint64)
	// Recovered and Restored are the same as in Handler.
	Recovered, Restored func()
}

// Upstreams returns a handler that decodes the entries of upstreams and passes them to h. Invalid entries are logged
// and ignored.
func Upstreams(log *eventlog.Log, h UpstreamHandler) Handler {
	decode := func(o platform.Object) (catalog.Upstream, bool) {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			log.State("upstream entry is invalid", "name", o.Name, "revision", o.Revision, "err", err)
		}
		return u, err == nil
	}
	return Handler{
		Listed: func(objects []platform.Object) {
			var all []catalog.Upstream
			for _, o := range objects {
				if u, ok := decode(o); ok {
					all = append(all, u)
				}
			}
			h.Listed(all)
		},
		Changed: func(objects []platform.Object) {
			for _, o := range objects {
				if o.Deleted {
					h.Removed(o.Name, o.Revision)
				} else if u, ok := decode(o); ok {
					h.Put(u, o.Revision)
				}
			}
		},
		Recovered: h.Recovered,
		Restored:  h.Restored,
	}
}
