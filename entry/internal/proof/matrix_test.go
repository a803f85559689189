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

var fullMatrix = flag.Bool("matrix-full", false, "run every cell of the matrix and print its table")

// sampleStride is the distance of the pairs that run without -matrix-full. It shares no factor with the numbers of
// faults and steps, so that the sample does not keep hitting the same ones.
const sampleStride = 61

// injection is a fault and the step at which it is injected.
type injection struct {
	fault string
	step  string
}

// cell is one cell of a fault matrix: the faults injected into one run.
type cell []injection

// String returns the name of the cell.
func (c cell) String() string {
	var parts []string
	for _, i := range c {
		parts = append(parts, i.fault+"@"+i.step)
	}
	return strings.Join(parts, "+")
}

// allCells returns the cells of each fault at each step: alone, in pairs of different faults, and repeated.
func allCells(faults, steps []string) (singles, pairs, twice []cell) {
	var injections []injection
	for _, faultName := range faults {
		for _, step := range steps {
			injections = append(injections, injection{fault: faultName, step: step})
		}
	}
	for i, first := range injections {
		singles = append(singles, cell{first})
		twice = append(twice, cell{first, {fault: first.fault, step: repeatStep}})
		for _, second := range injections[i+1:] {
			if first.fault != second.fault {
				pairs = append(pairs, cell{first, second})
			}
		}
	}
	return singles, pairs, twice
}

// tally counts the results of the cells that inject one fault at one step; passed includes refused.
type tally struct {
	passed, failed, refused int
}

// results collects the results of all cells; tallies are by matrix, fault and step.
var results = struct {
	sync.Mutex
	tallies         map[string]map[string]map[string]*tally
	passed, skipped int
	failures        []string
}{tallies: make(map[string]map[string]map[string]*tally)}

// recordResult records the result of a cell and fails its test if failure is not empty.
func recordResult(t *testing.T, matrix string, c cell, failure string, refused bool) {
	results.Lock()
	defer results.Unlock()
	for _, i := range c {
		if results.tallies[matrix] == nil {
			results.tallies[matrix] = make(map[string]map[string]*tally)
		}
		if results.tallies[matrix][i.fault] == nil {
			results.tallies[matrix][i.fault] = make(map[string]*tally)
		}
		if results.tallies[matrix][i.fault][i.step] == nil {
			results.tallies[matrix][i.fault][i.step] = &tally{}
		}
		counts := results.tallies[matrix][i.fault][i.step]
		switch {
		case failure != "":
			counts.failed++
		case refused:
			counts.refused++
			counts.passed++
		default:
			counts.passed++
		}
	}
	if failure == "" {
		results.passed++
		return
	}
	results.failures = append(results.failures, t.Name()+": "+failure)
	t.Error(failure)
}

// selectCells returns all cells with -matrix-full and a fixed sample of them otherwise.
func selectCells(cells []cell) []cell {
	if *fullMatrix {
		return cells
	}
	var selected []cell
	for i := 0; i < len(cells); i += sampleStride {
		selected = append(selected, cells[i])
	}
	results.Lock()
	results.skipped += len(cells) - len(selected)
	results.Unlock()
	return selected
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *fullMatrix {
		printResults()
	}
	os.Exit(code)
}

// printResults prints a table for each matrix with faults as rows and steps as columns, then the failures.
func printResults() {
	for _, matrix := range slices.Sorted(maps.Keys(results.tallies)) {
		faults := results.tallies[matrix]
		columns := make(map[string]bool)
		for _, steps := range faults {
			for step := range steps {
				columns[step] = true
			}
		}
		steps := slices.Sorted(maps.Keys(columns))
		fmt.Printf("\n%s: passed/failed (refused), the refused being among the passed\n%-30s", matrix, "fault")
		for _, step := range steps {
			fmt.Printf("%-18s", step)
		}
		fmt.Println()
		for _, f := range slices.Sorted(maps.Keys(faults)) {
			fmt.Printf("%-30s", f)
			for _, step := range steps {
				text := "not run"
				if counts := faults[f][step]; counts != nil {
					text = fmt.Sprintf("%d/%d (%d)", counts.passed, counts.failed, counts.refused)
				}
				fmt.Printf("%-18s", text)
			}
			fmt.Println()
		}
	}
	slices.Sort(results.failures)
	for _, f := range results.failures {
		fmt.Println("FAILED", f)
	}
	fmt.Printf("\n%d passed, %d failed, %d skipped\n", results.passed, len(results.failures), results.skipped)
}
