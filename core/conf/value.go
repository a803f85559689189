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

// Value is the value of a configuration object.
// It is a sealed interface: Model, Organisation, Service, Sheet and Target implement it.
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

// Service declares a plain service, which has no model engines, and its calls.
type Service struct {
	Calls []ServiceCall `json:"calls"`
}

// ServiceCall declares one method and path prefix of a plain service.
type ServiceCall struct {
	Method        string `json:"method"`
	Path          string `json:"path"`
	NonIdempotent bool   `json:"non-idempotent"` // NonIdempotent calls must run at most once.
	// StatusPath tells the outcome of an earlier call; {key} stands for the key of that call.
	StatusPath string `json:"status-path,omitempty"`
}

// Sheet sets the limits of a member's organisations.
type Sheet struct {
	Date   string  `json:"date"` // Date is the day of the planners' export, as YYYY-MM-DD.
	Limits []Limit `json:"limits"`
}

// Limit is one row of a sheet: the limits of an organisation.
type Limit struct {
	Organisation string `json:"organisation"`
	// Share is a weight above 0; a member's shares sum to at most 100.
	Share float64 `json:"share"`
	// Priority is passed to engines; a higher one is served first.
	Priority int `json:"priority"`
	// Ceiling limits the generations that run at once in the whole fleet.
	Ceiling int `json:"ceiling"`
	// Models lists the permitted models, each as model, model/adapter or model/adapter@version.
	Models []string `json:"models"`
	// Recovery is latency, thrift or restart.
	Recovery string `json:"recovery"`
}

// Target declares one model engine or one server of a plain service.
type Target struct {
	Name    string   `json:"-"`
	Address string   `json:"address"`
	Domain  string   `json:"failure-domain"`
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	Leaving bool     `json:"leaving,omitempty"` // Leaving targets are draining and get no new work.
	// IgnoresFencing marks engines that accept orders with outdated fencing numbers.
	IgnoresFencing bool `json:"ignores-fencing,omitempty"`
	// Slots is the number of generations that an engine runs in one batch.
	Slots int `json:"slots,omitempty"`
}

func (Model) isValue()        {}
func (Organisation) isValue() {}
func (Service) isValue()      {}
func (Sheet) isValue()        {}
func (Target) isValue()       {}

// Call returns the declared call with the method and the longest path prefix that match a request.
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

// Allows reports whether the limit lets its organisation use a model, adapter and version.
func (l Limit) Allows(model, adapter, version string) bool {
	for _, grant := range l.Models {
		grantedModel, grantedAdapter, grantedVersion := ParseGrant(grant)
		if grantedModel == model && (grantedAdapter == "" || grantedAdapter == adapter) && (grantedVersion == "" || grantedVersion == version) {
			return true
		}
	}
	return false
}

// ParseGrant splits model, model/adapter or model/adapter@version into its parts.
func ParseGrant(grant string) (model, adapter, version string) {
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

// hasPathPrefix reports whether path begins with prefix and the prefix ends at a slash or at the path's end.
func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/' || prefix[len(prefix)-1] == '/'
}
