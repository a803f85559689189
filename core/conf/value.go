package conf

// The kinds of configuration objects kept in the platform.
const (
	KindModel        = "model"
	KindOrganisation = "organisation"
	KindService      = "service"
	KindSheet        = "sheet"
	KindTarget       = "target"
)

// Kinds lists every kind of configuration object.
func Kinds() []string {
	return []string{KindModel, KindOrganisation, KindService, KindSheet, KindTarget}
}

// Value is the sealed set of configuration values: Model, Organisation, Service, Sheet and Target.
type Value interface {
	isValue()
}

// Model declares a model with the adapters and versions that engines may load.
type Model struct {
	Adapters []string `json:"adapters,omitempty"`
	Versions []string `json:"versions"`
	Default  string   `json:"default-version"`
}

// Organisation declares a caller; its key is kept as a SHA-256 hash in hexadecimal.
type Organisation struct {
	KeyHash string `json:"key-hash"`
}

// Service declares a plain service and the calls that must run at most once.
type Service struct {
	Calls []ServiceCall `json:"calls"`
}

// ServiceCall declares one method and path prefix of a plain service.
type ServiceCall struct {
	Method        string `json:"method"`
	Path          string `json:"path"`
	NonIdempotent bool   `json:"non-idempotent"`
	StatusPath    string `json:"status-path,omitempty"` // StatusPath settles an unknown outcome; {key} stands for the key.
}

// Sheet is a member's standing configuration for the day.
type Sheet struct {
	Date   string  `json:"date"` // Date is the planners' export date, as YYYY-MM-DD.
	Limits []Limit `json:"limits"`
}

// Limit is one row of a sheet: the limits voted for an organisation.
type Limit struct {
	Organisation string   `json:"organisation"`
	Share        float64  `json:"share"`    // Share is a weight above 0; a member's shares sum to at most 100.
	Priority     int      `json:"priority"` // Priority is passed to engines; a higher one goes first.
	Ceiling      int      `json:"ceiling"`  // Ceiling bounds generations running at once over the whole fleet.
	Models       []string `json:"models"`   // Models lists what may be used, each as model, model/adapter or model/adapter@version.
	Recovery     string   `json:"recovery"` // Recovery is latency, thrift or restart.
}

// Target declares one model engine or plain service instance.
type Target struct {
	Name           string   `json:"-"`
	Address        string   `json:"address"`
	Domain         string   `json:"failure-domain"`
	Models         []string `json:"models,omitempty"`
	Service        string   `json:"service,omitempty"`
	Leaving        bool     `json:"leaving,omitempty"`
	IgnoresFencing bool     `json:"ignores-fencing,omitempty"` // IgnoresFencing marks engines that take orders with old fencing numbers.
	Slots          int      `json:"slots,omitempty"`           // Slots is the number of generations an engine batches at once.
}

func (Model) isValue()        {}
func (Organisation) isValue() {}
func (Service) isValue()      {}
func (Sheet) isValue()        {}
func (Target) isValue()       {}

// Call returns the declared call that matches a method and path, the longest path first.
func (s Service) Call(method, path string) (ServiceCall, bool) {
	var best ServiceCall
	found := false
	for _, c := range s.Calls {
		if c.Method != method || !hasPathPrefix(path, c.Path) {
			continue
		}
		if !found || len(c.Path) > len(best.Path) {
			best, found = c, true
		}
	}
	return best, found
}

// Allows tells whether the limit lets its organisation use a model, adapter and version.
func (l Limit) Allows(model, adapter, version string) bool {
	for _, grant := range l.Models {
		m, a, v := SplitGrant(grant)
		if m == model && (a == "" || a == adapter) && (v == "" || v == version) {
			return true
		}
	}
	return false
}

// SplitGrant splits model, model/adapter or model/adapter@version into its parts.
func SplitGrant(grant string) (model, adapter, version string) {
	rest := grant
	for i := range rest {
		if rest[i] == '@' {
			rest, version = rest[:i], rest[i+1:]
			break
		}
	}
	for i := range rest {
		if rest[i] == '/' {
			return rest[:i], rest[i+1:], version
		}
	}
	return rest, "", version
}

// hasPathPrefix tells whether prefix covers path at a slash boundary.
func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/' || prefix[len(prefix)-1] == '/'
}
