package opts

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

// prefix begins the name of each environment variable.
const prefix = "BRAMLEYWHARF_"

// ErrInvalid is wrapped by the error that lists every invalid setting.
var ErrInvalid = errors.New("invalid settings")

// Checks collects the faults of settings; the zero value holds none.
type Checks struct {
	faults []string
}

// ReadEnv sets each flag that was not given from its environment variable.
func ReadEnv(flags *pflag.FlagSet) error {
	var c Checks
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(Variable(f.Name))
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			c.Fault("%s: %v", Variable(f.Name), err)
		}
	})
	return c.Err()
}

// Variable returns the environment variable of a flag.
func Variable(flag string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Err returns one error that lists every fault, or nil.
func (c *Checks) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n  %s", ErrInvalid, strings.Join(c.faults, "\n  "))
}

// Fault notes a fault.
func (c *Checks) Fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Need notes a fault unless the condition holds.
func (c *Checks) Need(ok bool, format string, args ...any) {
	if !ok {
		c.Fault(format, args...)
	}
}
