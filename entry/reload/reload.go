package reload

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"reflect"
	"sync"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/wait"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// lookInterval is the time between two looks at the file, which may change without a signal. Not every machine has
	// inotify.
	lookInterval = time.Second
	// settleTime is the time between two reads of a file that has changed; both have to return the same, as a file may be
	// read while it is written.
	settleTime = 20 * time.Millisecond
	// maxReads bounds the reads of one look, so that a stop does not wait for a file that is written all the time.
	maxReads = 4
)

// errUnsettled means that a file changes while it is read.
var errUnsettled = errors.New("file is being written")

// Settings describes the settings in a file. The fields of T that apply only when a process starts have a tag fixed with
// their name in the file.
type Settings[T any] struct {
	Path  string
	Parse func(content []byte) (T, error)
}

// File is a controller that publishes the settings in a file whenever they change. Settings with a fault change nothing.
type File[T any] struct {
	*wait.Loop
	settings Settings[T]
	log      log.Interface
	current  *cell.Cell[T]
	started  T

	mu   sync.Mutex
	seen string // seen is the content of the last look, or its error.
}

// Start returns a controller that looks for settings that differ from those of the start of the process.
func Start[T any](s Settings[T], started T, logger log.Interface) *File[T] {
	f := newFile(s, started, logger)
	f.Loop = wait.Start(func(ctx context.Context) {
		for wait.Sleep(ctx, lookInterval) {
			f.Look()
		}
	})
	return f
}

// newFile returns a controller that looks only when it is told to.
func newFile[T any](s Settings[T], started T, logger log.Interface) *File[T] {
	return &File[T]{settings: s, log: logger, current: cell.New(started), started: started}
}

// Read reads settings from a file.
func Read[T any](path string, parse func(content []byte) (T, error)) (settings T, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return settings, fmt.Errorf("read settings: %w", err)
	}
	if settings, err = parse(content); err != nil {
		return settings, fmt.Errorf("read settings %s: %w", path, err)
	}
	return settings, nil
}

// Current returns the cell with the settings in force.
func (f *File[T]) Current() *cell.Cell[T] {
	return f.current
}

// Look reads the file, applies its settings if it has changed, and reports whether it did.
func (f *File[T]) Look() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	content, err := f.read()
	seen := string(content)
	if err != nil {
		seen = err.Error()
	}
	if seen == f.seen {
		return false
	}
	f.seen = seen
	var next T
	if err == nil {
		next, err = f.settings.Parse(content)
	}
	if err != nil {
		f.log.WithError(err).Error("settings cannot be read; keeping the current ones")
		return false
	}
	if reflect.DeepEqual(next, f.current.Load()) {
		return false
	}
	f.current.Update(func(T) T { return next })
	f.log.Info("settings applied")
	for _, name := range changedFixed(f.started, next) {
		f.log.WithField("setting", name).Warn("setting applies only after a restart; keeping the one of the start")
	}
	return true
}

// read returns the content of the file once it no longer changes.
func (f *File[T]) read() ([]byte, error) {
	content, err := os.ReadFile(f.settings.Path)
	for range maxReads {
		if err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		if string(content) == f.seen {
			return content, nil
		}
		time.Sleep(settleTime)
		before := content
		content, err = os.ReadFile(f.settings.Path)
		if err == nil && bytes.Equal(content, before) {
			return content, nil
		}
	}
	return nil, errUnsettled
}

// changedFixed returns the names of the fields that apply only when a process starts and differ in two structs.
func changedFixed(started, next any) []string {
	var names []string
	before, after := reflect.ValueOf(started), reflect.ValueOf(next)
	for i := range before.NumField() {
		name, isFixed := before.Type().Field(i).Tag.Lookup("fixed")
		if isFixed && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
