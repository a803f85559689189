package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const maxLineBytes = 1 << 20

var errRequestNotFound = errors.New("no line names the request")

// logLine is one line of an instance's log.
type logLine struct {
	Fields  map[string]any `json:"fields"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// newExplainCommand returns the command that prints what the logs say of one request.
func newExplainCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [LOG...]",
		Short: "Tell the story of one request from the logs of instances, or from standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			timeline, malformed, err := readTimeline(args[0], args[1:], c.InOrStdin())
			if err != nil {
				return err
			}
			if len(timeline) == 0 {
				return fmt.Errorf("%w: %s (%d lines could not be read)", errRequestNotFound, args[0], malformed)
			}
			if a.format == formatJSON {
				return json.NewEncoder(a.out).Encode(timeline)
			}
			printTimeline(a.out, timeline)
			return nil
		},
	}
}

// readTimeline returns the lines of all logs that name a request, sorted by time, and the number of malformed lines.
func readTimeline(requestID string, logs []string, stdin io.Reader) ([]logLine, int, error) {
	var timeline []logLine
	malformed := 0
	collect := func(r io.Reader) error {
		found, n, err := readLines(requestID, r)
		timeline, malformed = append(timeline, found...), malformed+n
		return err
	}
	if len(logs) == 0 {
		if err := collect(stdin); err != nil {
			return nil, 0, err
		}
	}
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, fmt.Errorf("open log: %w", err)
		}
		err = collect(f)
		_ = f.Close()
		if err != nil {
			return nil, 0, fmt.Errorf("read log %s: %w", name, err)
		}
	}
	slices.SortStableFunc(timeline, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return timeline, malformed, nil
}

// readLines returns the lines of one log that name a request. It ignores text before the first brace, such as a prefix
// added by a log collector. Only lines that contain the request's id count as malformed.
func readLines(requestID string, r io.Reader) (found []logLine, malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(requestID)) {
			continue
		}
		var l logLine
		if err := json.Unmarshal(raw[max(0, bytes.IndexByte(raw, '{')):], &l); err != nil {
			malformed++
			continue
		}
		if l.Fields["request"] == requestID {
			found = append(found, l)
		}
	}
	return found, malformed, scanner.Err()
}

// printTimeline prints the lines with their times since the first, then the cause of the outcome.
func printTimeline(out io.Writer, timeline []logLine) {
	first := timeline[0].Time
	for _, l := range timeline {
		_, _ = fmt.Fprintf(out, "%8.3f s  %-12v %s%s\n", l.Time.Sub(first).Seconds(), l.Fields["instance"], l.Message, formatFields(l.Fields))
	}
	last := timeline[len(timeline)-1]
	_, _ = fmt.Fprintf(out, "cause: %s\n", describeCause(timeline, last))
}

// formatFields returns the fields of a line, sorted by name; it leaves out empty ones, request, instance and source.
func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch value := fields[name]; {
		case name == "request" || name == "instance" || name == "source" || value == "":
		default:
			_, _ = fmt.Fprintf(&b, " %s=%v", name, value)
		}
	}
	return b.String()
}

// describeCause returns the last message with the error or cause of the latest earlier line that has one, otherwise
// with its own cause. A single line counts as its own earlier line.
func describeCause(timeline []logLine, last logLine) string {
	for i := len(timeline) - 1; i >= 0; i-- {
		for _, name := range []string{"error", "cause"} {
			if value, ok := timeline[i].Fields[name]; ok && (i < len(timeline)-1 || len(timeline) == 1) {
				return fmt.Sprintf("%s, after %s: %v", last.Message, timeline[i].Message, value)
			}
		}
	}
	if value, ok := last.Fields["cause"]; ok {
		return fmt.Sprintf("%s: %v", last.Message, value)
	}
	return last.Message
}
