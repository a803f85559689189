package opts

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

const (
	envPrefix = "BRAMLEYWHARF_"
	maxNumber = 1e9 // maxNumber bounds numbers so that as many seconds are still a duration.
)

// ErrInvalid is wrapped by the error that lists every invalid setting.
var ErrInvalid = errors.New("invalid settings")

// Checks collects faults of settings; the zero value is ready for use.
type Checks struct {
	faults []string
}

// ReadEnv sets each flag that was not given on the command line from its environment variable.
func ReadEnv(flags *pflag.FlagSet) error {
	var checks Checks
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(EnvName(f.Name))
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			checks.AddFault("%s: %v", EnvName(f.Name), err)
		}
	})
	return checks.Err()
}

// EnvName returns the name of a flag's environment variable.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// AddFault adds a fault.
func (c *Checks) AddFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Err returns one error that lists every fault, or nil.
func (c *Checks) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n  %s", ErrInvalid, strings.Join(c.faults, "\n  "))
}

// Require adds a fault unless the condition holds.
func (c *Checks) Require(ok bool, format string, args ...any) {
	if !ok {
		c.AddFault(format, args...)
	}
}

// RequirePositive adds a fault unless a number is above 0.
func (c *Checks) RequirePositive(name string, value float64) {
	c.Require(value > 0 && value <= maxNumber, "%s %v is not above 0, or over %v", name, value, maxNumber)
}

// RequireNotNegative adds a fault if a number is below 0.
func (c *Checks) RequireNotNegative(name string, value float64) {
	c.Require(value >= 0 && value <= maxNumber, "%s %v is below 0, or over %v", name, value, maxNumber)
}
