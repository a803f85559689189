package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"html/template"
	"net/http"
	"strings"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/fleet"
	"bramleywharf.example/entry/internal/pool"
	"bramleywharf.example/entry/internal/watch"
	"github.com/VictoriaMetrics/metrics"
)

// Parts holds the parts of an instance that the admin interface reads or controls.
type Parts struct {
	Set          *metrics.Set
	Watch        *watch.Watch
	Fleet        *fleet.Fleet
	Pool         *pool.Pool
	OperatorHash string          // OperatorHash is the SHA-256 hash of the operator key, in hexadecimal.
	Leave        func()          // Leave starts the instance's graceful stop and returns at once.
	Leaving      <-chan struct{} // Leaving is closed once Leave was called.
}

// Status is the status of an instance, as JSON and on the status page.
type Status struct {
	Instance string         `json:"instance"`
	Revision uint64         `json:"revision"`
	Age      float64        `json:"config-age-seconds"` // Age is the time since Revision was last known to be the newest.
	Fault    string         `json:"fault,omitempty"`    // Fault says why no calls are accepted, or is empty.
	Leaving  bool           `json:"leaving"`
	Running  int            `json:"generations-running"`
	Resumed  int            `json:"generations-recovered"` // Resumed counts recoveries on another engine since the start.
	Sheets   []SheetStatus  `json:"sheets"`
	Members  []MemberStatus `json:"members"`
	Targets  []TargetStatus `json:"targets"`
}

// SheetStatus summarises a sheet. Its member is the one that the sheet belongs to, not an instance of the fleet.
type SheetStatus struct {
	Member        string `json:"member"`
	Date          string `json:"date"`
	Organisations int    `json:"organisations"`
}

// MemberStatus is the status of an instance of the fleet, as this one knows it.
type MemberStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"failure-domain"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
}

// TargetStatus is the status of a target that this instance watches.
type TargetStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"failure-domain"`
	Own     int    `json:"own"`   // Own counts this instance's generations there.
	Load    int    `json:"load"`  // Load is the last reported number of generations there, all instances together.
	Slots   int    `json:"slots"` // Slots is the number of generations that it batches at once; 0 means unknown.
	Suspect bool   `json:"suspect"`
}

// Admin serves operators over HTTP.
type Admin struct {
	parts Parts
	mux   *http.ServeMux
}

// New returns the admin interface of an instance.
func New(p Parts) *Admin {
	a := &Admin{parts: p, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /metrics", a.writeMetrics)
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.mux.HandleFunc("GET /readyz", a.checkReady)
	a.mux.HandleFunc("GET /v1/status", a.requireOperatorKey(a.writeStatus))
	a.mux.HandleFunc("POST /v1/drain", a.requireOperatorKey(a.startDrain))
	a.mux.HandleFunc("GET /{$}", a.requireOperatorKey(a.writePage))
	return a
}

// ServeHTTP answers a request of an operator.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// startDrain starts the graceful stop and answers at once.
func (a *Admin) startDrain(w http.ResponseWriter, _ *http.Request) {
	a.parts.Leave()
	w.WriteHeader(http.StatusAccepted)
}

// writeMetrics writes the metrics of the instance and its process in the Prometheus text format.
func (a *Admin) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.parts.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// requireOperatorKey returns a handler that calls next only if the request has the operator key, as a bearer token
// or as the password of basic authentication, for browsers.
func (a *Admin) requireOperatorKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, password, ok := r.BasicAuth(); ok {
			key = password
		}
		sum := sha256.Sum256([]byte(key))
		keyHash := hex.EncodeToString(sum[:])
		if subtle.ConstantTimeCompare([]byte(keyHash), []byte(a.parts.OperatorHash)) != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="bramleywharf operators"`)
			http.Error(w, "operator key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// writePage writes the status as an HTML page.
func (a *Admin) writePage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = pageTemplate().Execute(w, a.currentStatus())
}

// checkReady answers whether callers should be sent here: not once the instance is leaving, nor while it does not
// know the current configuration.
func (a *Admin) checkReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-a.parts.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	default:
	}
	if _, err := a.parts.Watch.Current(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// currentStatus returns the status of the instance now.
func (a *Admin) currentStatus() Status {
	config := a.parts.Watch.Snapshot()
	self := a.parts.Fleet.Self()
	s := Status{
		Instance: self.Name,
		Revision: uint64(config.Revision()),
		Age:      a.parts.Watch.Age().Seconds(),
		Leaving:  self.Leaving,
		Running:  int(a.parts.Set.GetOrCreateGauge("bramleywharf_generations_running", nil).Get()),
		Resumed:  int(a.parts.Set.GetOrCreateCounter("bramleywharf_generations_continued_total").Get()),
		Sheets:   sheetStatuses(config),
		Members:  memberStatuses(a.parts.Fleet.View()),
		Targets:  targetStatuses(a.parts.Pool.Watched()),
	}
	if _, err := a.parts.Watch.Current(); err != nil {
		s.Fault = err.Error()
	}
	return s
}

// writeStatus writes the status as JSON.
func (a *Admin) writeStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.currentStatus())
}

// memberStatuses returns the status of all instances of the fleet.
func memberStatuses(v member.View) []MemberStatus {
	statuses := []MemberStatus{}
	for _, m := range v.All() {
		statuses = append(statuses, MemberStatus{Name: m.Name, Domain: m.Domain, State: m.State.String(), Leaving: m.Leaving})
	}
	return statuses
}

// sheetStatuses returns the status of all sheets, sorted by member.
func sheetStatuses(s *conf.Snapshot) []SheetStatus {
	statuses := []SheetStatus{}
	for _, member := range s.SheetMembers() {
		sheet, _ := s.Sheet(member)
		statuses = append(statuses, SheetStatus{Member: member, Date: sheet.Date, Organisations: len(sheet.Limits)})
	}
	return statuses
}

// targetStatuses returns the status of all watched targets.
func targetStatuses(watched []route.Candidate) []TargetStatus {
	statuses := []TargetStatus{}
	for _, target := range watched {
		statuses = append(statuses, TargetStatus{
			Name:    target.Name,
			Domain:  target.Domain,
			Own:     target.InFlight,
			Load:    target.ReportedLoad,
			Slots:   target.Slots,
			Suspect: target.Suspect,
		})
	}
	return statuses
}

// pageTemplate returns the template of the status page, whose data is a Status.
func pageTemplate() *template.Template {
	return template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Instance}}</title></head><body>
<h1>{{.Instance}}</h1>
<p>Configuration revision {{.Revision}}, known to be the newest {{printf "%.1f" .Age}} s ago.{{if .Leaving}} Leaving.{{end}}{{if .Fault}} Takes no calls: {{.Fault}}.{{end}}</p>
<p>{{.Running}} generations running, {{.Resumed}} recovered on another engine since the start.</p>
<h2>Sheets</h2><table><tr><th>member<th>date<th>organisations</tr>
{{range .Sheets}}<tr><td>{{.Member}}<td>{{.Date}}<td>{{.Organisations}}</tr>{{end}}</table>
<h2>Instances</h2><table><tr><th>name<th>failure domain<th>state<th>leaving</tr>
{{range .Members}}<tr><td>{{.Name}}<td>{{.Domain}}<td>{{.State}}<td>{{.Leaving}}</tr>{{end}}</table>
<h2>Targets</h2><table><tr><th>name<th>failure domain<th>own<th>load<th>slots<th>suspect</tr>
{{range .Targets}}<tr><td>{{.Name}}<td>{{.Domain}}<td>{{.Own}}<td>{{.Load}}<td>{{.Slots}}<td>{{.Suspect}}</tr>{{end}}</table>
</body></html>
`))
}
