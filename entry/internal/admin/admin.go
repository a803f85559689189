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

// Parts holds what operators look at.
type Parts struct {
	Set          *metrics.Set
	Watch        *watch.Watch
	Fleet        *fleet.Fleet
	Pool         *pool.Pool
	OperatorHash string
	Leave        func()
	Leaving      <-chan struct{}
}

// Status is what an instance says of itself.
type Status struct {
	Instance string         `json:"instance"`
	Revision uint64         `json:"revision"`
	Age      float64        `json:"config-age-seconds"`
	Fault    string         `json:"fault,omitempty"`
	Leaving  bool           `json:"leaving"`
	Running  int            `json:"generations-running"`
	Resumed  int            `json:"generations-recovered"` // Resumed counts continuations on another engine since the start.
	Sheets   []SheetStatus  `json:"sheets"`
	Members  []MemberStatus `json:"members"`
	Targets  []TargetStatus `json:"targets"`
}

// SheetStatus is one member's sheet in force.
type SheetStatus struct {
	Member        string `json:"member"`
	Date          string `json:"date"`
	Organisations int    `json:"organisations"`
}

// MemberStatus is one instance as this one knows it.
type MemberStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"failure-domain"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
}

// TargetStatus is one target as this instance knows it.
type TargetStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"failure-domain"`
	Own     int    `json:"own"`
	Load    int    `json:"load"`
	Slots   int    `json:"slots"`
	Suspect bool   `json:"suspect"`
}

// Admin answers operators over HTTP.
type Admin struct {
	parts Parts
	mux   *http.ServeMux
}

// New returns the operators' side of an instance.
func New(p Parts) *Admin {
	a := &Admin{parts: p, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /metrics", a.metrics)
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.mux.HandleFunc("GET /readyz", a.ready)
	a.mux.HandleFunc("GET /v1/status", a.operator(a.status))
	a.mux.HandleFunc("POST /v1/drain", a.operator(a.drain))
	a.mux.HandleFunc("GET /{$}", a.operator(a.page))
	return a
}

// ServeHTTP answers an operator.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// drain begins to leave.
func (a *Admin) drain(w http.ResponseWriter, _ *http.Request) {
	a.parts.Leave()
	w.WriteHeader(http.StatusAccepted)
}

// metrics writes all metrics.
func (a *Admin) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.parts.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// operator lets only operators pass, who show their key as a bearer token or as the password of a browser.
func (a *Admin) operator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, password, ok := r.BasicAuth(); ok {
			key = password
		}
		sum := sha256.Sum256([]byte(key))
		shown := hex.EncodeToString(sum[:])
		if subtle.ConstantTimeCompare([]byte(shown), []byte(a.parts.OperatorHash)) != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="bramleywharf operators"`)
			http.Error(w, "operator key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// page writes the status as plain HTML.
func (a *Admin) page(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = pageTemplate().Execute(w, a.snapshot())
}

// ready tells whether new calls are taken.
func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
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

// snapshot gathers the status.
func (a *Admin) snapshot() Status {
	snapshot := a.parts.Watch.Snapshot()
	self := a.parts.Fleet.Self()
	s := Status{
		Instance: self.Name,
		Revision: uint64(snapshot.Revision()),
		Age:      a.parts.Watch.Age().Seconds(),
		Leaving:  self.Leaving,
		Running:  int(a.parts.Set.GetOrCreateGauge("bramleywharf_generations_running", nil).Get()),
		Resumed:  int(a.parts.Set.GetOrCreateCounter("bramleywharf_generations_continued_total").Get()),
		Sheets:   sheets(snapshot),
		Members:  members(a.parts.Fleet.View()),
		Targets:  targets(a.parts.Pool.Watched()),
	}
	if _, err := a.parts.Watch.Current(); err != nil {
		s.Fault = err.Error()
	}
	return s
}

// status writes the status as JSON.
func (a *Admin) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.snapshot())
}

// members returns the status of all members.
func members(v member.View) []MemberStatus {
	list := []MemberStatus{}
	for _, m := range v.All() {
		list = append(list, MemberStatus{Name: m.Name, Domain: m.Domain, State: m.State.String(), Leaving: m.Leaving})
	}
	return list
}

// sheets returns the status of all sheets.
func sheets(s *conf.Snapshot) []SheetStatus {
	list := []SheetStatus{}
	for _, member := range s.SheetMembers() {
		sheet, _ := s.Sheet(member)
		list = append(list, SheetStatus{Member: member, Date: sheet.Date, Organisations: len(sheet.Limits)})
	}
	return list
}

// targets returns the status of all watched targets.
func targets(watched []route.Candidate) []TargetStatus {
	list := []TargetStatus{}
	for _, c := range watched {
		list = append(list, TargetStatus{Name: c.Name, Domain: c.Domain, Own: c.Own, Load: c.Load, Slots: c.Slots, Suspect: c.Suspect})
	}
	return list
}

// pageTemplate returns the template of the status page.
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
