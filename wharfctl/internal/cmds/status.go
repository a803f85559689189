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
	askTimeout = 2 * time.Second // askTimeout bounds one question to an instance.
	maxStatus  = 8 << 20         // maxStatus bounds one status, in bytes.
)

// status is what an instance says of itself.
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
		Own     int    `json:"own"`
		Load    int    `json:"load"`
		Slots   int    `json:"slots"`
		Suspect bool   `json:"suspect"`
	} `json:"targets"`
}

// newDrain returns the command that makes an instance leave.
func newDrain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "drain ADMIN-ADDRESS...",
		Short: "Stop instances without cutting a request",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, address := range args {
				if _, err := a.ask(c.Context(), http.MethodPost, address, "/v1/drain"); err != nil {
					return fmt.Errorf("drain %s: %w", address, err)
				}
				a.lines(address + " is leaving")
			}
			return nil
		},
	}
}

// newStatus returns the command that shows instances.
func newStatus(a *app) *cobra.Command {
	var targets bool
	c := &cobra.Command{
		Use:   "status ADMIN-ADDRESS...",
		Short: "Show which configuration instances run, and whom they know",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var all []status
			for _, address := range args {
				s, err := a.status(c.Context(), address)
				if err != nil {
					return fmt.Errorf("status of %s: %w", address, err)
				}
				all = append(all, s)
			}
			switch {
			case a.output == formatJSON:
				return a.json(all)
			case targets:
				return a.table("INSTANCE\tTARGET\tDOMAIN\tOWN\tLOAD\tSLOTS\tSUSPECT", targetRows(all))
			default:
				return a.table("INSTANCE\tREVISION\tAGE\tLEAVING\tMEMBERS\tTARGETS\tFAULT", instanceRows(all))
			}
		},
	}
	c.Flags().BoolVar(&targets, "targets", false, "show the targets that each instance watches")
	return c
}

// ask asks an instance as an operator.
func (a *app) ask(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatus))
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
	body, err := a.ask(ctx, http.MethodGet, address, "/v1/status")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// instanceRows returns a row for each instance.
func instanceRows(all []status) [][]string {
	var rows [][]string
	for _, s := range all {
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
func targetRows(all []status) [][]string {
	var rows [][]string
	for _, s := range all {
		for _, t := range s.Targets {
			rows = append(rows, []string{
				s.Instance, t.Name, t.Domain, strconv.Itoa(t.Own), strconv.Itoa(t.Load), strconv.Itoa(t.Slots), strconv.FormatBool(t.Suspect),
			})
		}
	}
	return rows
}
