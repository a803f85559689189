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

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// errUnseen is returned when no line names the request.
var errUnseen = errors.New("no line names the request")

// line is one line of an instance's log.
type line struct {
	Fields  map[string]any `json:"fields"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// newExplain returns the command that tells the story of one request.
func newExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [LOG...]",
		Short: "Tell the story of one request from the logs of instances, or from standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			story, unread, err := readStory(args[0], args[1:], c.InOrStdin())
			if err != nil {
				return err
			}
			if len(story) == 0 {
				return fmt.Errorf("%w: %s (%d lines could not be read)", errUnseen, args[0], unread)
			}
			if a.output == formatJSON {
				return json.NewEncoder(a.out).Encode(story)
			}
			tell(a.out, story)
			return nil
		},
	}
}

// readStory returns the lines that name a request, in the order of their times, and the number of lines that could not be read.
func readStory(request string, logs []string, in io.Reader) ([]line, int, error) {
	var story []line
	unread := 0
	take := func(r io.Reader) error {
		lines, bad, err := readLines(request, r)
		story, unread = append(story, lines...), unread+bad
		return err
	}
	if len(logs) == 0 {
		if err := take(in); err != nil {
			return nil, 0, err
		}
	}
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, fmt.Errorf("open log: %w", err)
		}
		err = take(f)
		_ = f.Close()
		if err != nil {
			return nil, 0, fmt.Errorf("read log %s: %w", name, err)
		}
	}
	slices.SortStableFunc(story, func(a, b line) int { return a.Time.Compare(b.Time) })
	return story, unread, nil
}

// readLines returns the lines of a log that name a request; what stands before the first brace is passed over.
func readLines(request string, r io.Reader) (found []line, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(request)) {
			continue
		}
		var l line
		if err := json.Unmarshal(raw[max(0, bytes.IndexByte(raw, '{')):], &l); err != nil {
			unread++
			continue
		}
		if l.Fields["request"] == request {
			found = append(found, l)
		}
	}
	return found, unread, scanner.Err()
}

// tell prints a story, and its cause in the last line.
func tell(out io.Writer, story []line) {
	first := story[0].Time
	for _, l := range story {
		_, _ = fmt.Fprintf(out, "%8.3f s  %-12v %s%s\n", l.Time.Sub(first).Seconds(), l.Fields["instance"], l.Message, details(l.Fields))
	}
	last := story[len(story)-1]
	_, _ = fmt.Fprintf(out, "cause: %s\n", cause(story, last))
}

// details returns the fields of a line, sorted, without those that every line of the story has.
func details(fields map[string]any) string {
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

// cause returns what the end of a story rests on: the last line's own cause, or that of the last line before that has one.
func cause(story []line, last line) string {
	for i := len(story) - 1; i >= 0; i-- {
		for _, name := range []string{"error", "cause"} {
			if value, ok := story[i].Fields[name]; ok && (i < len(story)-1 || len(story) == 1) {
				return fmt.Sprintf("%s, after %s: %v", last.Message, story[i].Message, value)
			}
		}
	}
	if value, ok := last.Fields["cause"]; ok {
		return fmt.Sprintf("%s: %v", last.Message, value)
	}
	return last.Message
}
