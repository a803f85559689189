package proof

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
)

var full = flag.Bool("matrix-full", false, "run every cell of the matrix and print its table")

// sampleStride is the distance of the pairs that run without -matrix-full; it shares no factor with the numbers of faults and steps.
const sampleStride = 61

// injection is a fault at a step.
type injection struct {
	fault string
	step  string
}

// cell is one cell of the matrix.
type cell []injection

// String names the cell.
func (c cell) String() string {
	var parts []string
	for _, i := range c {
		parts = append(parts, i.fault+"@"+i.step)
	}
	return strings.Join(parts, "+")
}

// cells returns every fault at every step singly, in pairs of different faults, and repeated.
func cells(faults, steps []string) (singles, pairs, twice []cell) {
	var all []injection
	for _, f := range faults {
		for _, step := range steps {
			all = append(all, injection{fault: f, step: step})
		}
	}
	for i, a := range all {
		singles = append(singles, cell{a})
		twice = append(twice, cell{a, {fault: a.fault, step: again}})
		for _, b := range all[i+1:] {
			if a.fault != b.fault {
				pairs = append(pairs, cell{a, b})
			}
		}
	}
	return singles, pairs, twice
}

// tally counts the results of one fault at one step.
type tally struct {
	passed, failed, refused int
}

// board collects the results of all cells.
var board = struct {
	sync.Mutex
	paths           map[string]map[string]map[string]*tally
	passed, skipped int
	failures        []string
}{paths: make(map[string]map[string]map[string]*tally)}

// note records the result of a cell and fails its test when something is wrong.
func note(t *testing.T, path string, c cell, wrong string, refused bool) {
	board.Lock()
	defer board.Unlock()
	for _, i := range c {
		if board.paths[path] == nil {
			board.paths[path] = make(map[string]map[string]*tally)
		}
		if board.paths[path][i.fault] == nil {
			board.paths[path][i.fault] = make(map[string]*tally)
		}
		if board.paths[path][i.fault][i.step] == nil {
			board.paths[path][i.fault][i.step] = &tally{}
		}
		s := board.paths[path][i.fault][i.step]
		switch {
		case wrong != "":
			s.failed++
		case refused:
			s.refused++
			s.passed++
		default:
			s.passed++
		}
	}
	if wrong == "" {
		board.passed++
		return
	}
	board.failures = append(board.failures, t.Name()+": "+wrong)
	t.Error(wrong)
}

// sample returns all cells in a full run and a fixed choice of them otherwise.
func sample(cells []cell) []cell {
	if *full {
		return cells
	}
	var chosen []cell
	for i := 0; i < len(cells); i += sampleStride {
		chosen = append(chosen, cells[i])
	}
	board.Lock()
	board.skipped += len(cells) - len(chosen)
	board.Unlock()
	return chosen
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *full {
		printBoard()
	}
	os.Exit(code)
}

// printBoard prints a table for each path: rows are faults, columns are steps.
func printBoard() {
	for _, path := range slices.Sorted(maps.Keys(board.paths)) {
		faults := board.paths[path]
		columns := make(map[string]bool)
		for _, steps := range faults {
			for step := range steps {
				columns[step] = true
			}
		}
		steps := slices.Sorted(maps.Keys(columns))
		fmt.Printf("\n%s: passed/failed, of the passed (refused truthfully)\n%-30s", path, "fault")
		for _, step := range steps {
			fmt.Printf("%-18s", step)
		}
		fmt.Println()
		for _, f := range slices.Sorted(maps.Keys(faults)) {
			fmt.Printf("%-30s", f)
			for _, step := range steps {
				text := "not run"
				if s := faults[f][step]; s != nil {
					text = fmt.Sprintf("%d/%d (%d)", s.passed, s.failed, s.refused)
				}
				fmt.Printf("%-18s", text)
			}
			fmt.Println()
		}
	}
	slices.Sort(board.failures)
	for _, f := range board.failures {
		fmt.Println("FAILED", f)
	}
	fmt.Printf("\n%d passed, %d failed, %d skipped\n", board.passed, len(board.failures), board.skipped)
}
