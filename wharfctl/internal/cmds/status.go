package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	adminTimeout   = 2 * time.Second // adminTimeout bounds one request to an instance's admin address.
	maxAnswerBytes = 8 << 20
)

// status is an instance's answer to GET /v1/status. Decoding errors print its Go name and field names to operators.
type status struct {
	Instance string  `json:"instance"`
	Revision uint64  `json:"revision"`
	Age      float64 `json:"config-age-seconds"`
	Fault    string  `json:"fault,omitempty"`
	Leaving  bool    `json:"leaving"`
	Members  []struct {
		Name    string `json:"name"`
		Domain  string `json:"failure-domain"`
		State   string `json:"state"`
		Leaving bool   `json:"leaving"`
	} `json:"members"`
	Targets []struct {
		Name    string `json:"name"`
		Domain  string `json:"failure-domain"`
		Own     int    `json:"own"`  // Own counts the instance's own generations at the target.
		Load    int    `json:"load"` // Load counts the generations of all instances, as the target last reported.
		Slots   int    `json:"slots"`
		Suspect bool   `json:"suspect"`
	} `json:"targets"`
}

func newDrainCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "drain ADMIN-ADDRESS...",
		Short: "Stop instances without cutting a request",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, address := range args {
				if _, err := a.callAdmin(c.Context(), http.MethodPost, address, "/v1/drain"); err != nil {
					return fmt.Errorf("drain %s: %w", address, err)
				}
				a.printLines(address + " is leaving")
			}
			return nil
		},
	}
}

func newStatusCommand(a *app) *cobra.Command {
	var targets bool
	c := &cobra.Command{
		Use:   "status ADMIN-ADDRESS...",
		Short: "Show which configuration instances run, and whom they know",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var statuses []status
			for _, address := range args {
				s, err := a.status(c.Context(), address)
				if err != nil {
					return fmt.Errorf("status of %s: %w", address, err)
				}
				statuses = append(statuses, s)
			}
			switch {
			case a.format == formatJSON:
				return a.printJSON(statuses)
			case targets:
				return a.printTable("INSTANCE\tTARGET\tDOMAIN\tOWN\tLOAD\tSLOTS\tSUSPECT", targetRows(statuses))
			default:
				return a.printTable("INSTANCE\tREVISION\tAGE\tLEAVING\tMEMBERS\tTARGETS\tFAULT", instanceRows(statuses))
			}
		},
	}
	c.Flags().BoolVar(&targets, "targets", false, "show the targets that each instance watches")
	return c
}

// callAdmin sends a request with the operator's key to an instance's admin address and returns the body of the answer.
func (a *app) callAdmin(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: address %q: %w", errUsage, address, err)
	}
	request.Header.Set("Authorization", "Bearer "+a.operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("instance answered %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// status asks an instance for its status.
func (a *app) status(ctx context.Context, address string) (status, error) {
	var s status
	body, err := a.callAdmin(ctx, http.MethodGet, address, "/v1/status")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

func instanceRows(statuses []status) [][]string {
	var rows [][]string
	for _, s := range statuses {
		alive := 0
		for _, m := range s.Members {
			if m.State == "alive" {
				alive++
			}
		}
		rows = append(rows, []string{
			s.Instance, strconv.FormatUint(s.Revision, 10), fmt.Sprintf("%.1fs", s.Age), strconv.FormatBool(s.Leaving),
			fmt.Sprintf("%d of %d alive", alive, len(s.Members)), strconv.Itoa(len(s.Targets)), s.Fault,
		})
	}
	return rows
}

// targetRows returns a row for each target that an instance watches.
func targetRows(statuses []status) [][]string {
	var rows [][]string
	for _, s := range statuses {
		for _, t := range s.Targets {
			rows = append(rows, []string{
				s.Instance, t.Name, t.Domain, strconv.Itoa(t.Own), strconv.Itoa(t.Load), strconv.Itoa(t.Slots), strconv.FormatBool(t.Suspect),
			})
		}
	}
	return rows
}
