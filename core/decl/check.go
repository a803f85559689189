package decl

import (
	"fmt"
	"net"
	"regexp"
	"slices"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/flow"
	"github.com/pkg/errors"
)

// maxShareSum bounds the sum of the shares of one sheet: 100, with room for rounding.
const maxShareSum = 100.0001

var (
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	datePattern = regexp.MustCompile(`^\d{4}-\d{2}-\d{2}$`)
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
)

// Validate returns the first fault found in a configuration value, or nil.
func Validate(value conf.Value) error {
	switch v := value.(type) {
	case conf.Model:
		return checkModel(v)
	case conf.Organisation:
		return checkOrganisation(v)
	case conf.Service:
		return checkService(v)
	case conf.Sheet:
		return checkSheet(v)
	case conf.Target:
		return checkTarget(v)
	default:
		return ErrUnknownKind
	}
}

// IsValidName reports whether a name may be used for a configuration object.
func IsValidName(name string) bool {
	return namePattern.MatchString(name)
}

// checkModel requires at least one version, and a default that is one of the versions.
func checkModel(m conf.Model) error {
	if len(m.Versions) == 0 {
		return errors.New("versions must name at least one version")
	}
	if !slices.Contains(m.Versions, m.Default) {
		return errors.Errorf("default-version %q is not one of the versions", m.Default)
	}
	return nil
}

// checkOrganisation requires a key hash.
func checkOrganisation(o conf.Organisation) error {
	if !hashPattern.MatchString(o.KeyHash) {
		return errors.New("key-hash must be a SHA-256 hash in 64 hexadecimal digits")
	}
	return nil
}

// checkService requires a method and an absolute path for each call.
func checkService(s conf.Service) error {
	for i, c := range s.Calls {
		if c.Method == "" || c.Path == "" || c.Path[0] != '/' {
			return errors.Errorf("calls[%d] needs a method and a path that begins with /", i)
		}
	}
	return nil
}

// checkSheet checks the date, every row and the sum of the shares.
func checkSheet(s conf.Sheet) error {
	if !datePattern.MatchString(s.Date) {
		return errors.Errorf("date %q is not YYYY-MM-DD", s.Date)
	}
	seen := make(map[string]bool)
	sum := 0.0
	for i, l := range s.Limits {
		if seen[l.Organisation] {
			return errors.Errorf("limits[%d]: organisation %q stands twice", i, l.Organisation)
		}
		seen[l.Organisation] = true
		sum += l.Share
		if err := checkLimit(l); err != nil {
			return fmt.Errorf("limits[%d]: %w", i, err)
		}
	}
	if sum > maxShareSum {
		return errors.Errorf("shares sum to %g, over 100", sum)
	}
	return nil
}

// checkLimit checks one row of a sheet.
func checkLimit(l conf.Limit) error {
	if !IsValidName(l.Organisation) {
		return errors.Errorf("organisation %q is not a valid name", l.Organisation)
	}
	if !(l.Share > 0) || l.Share > 100 {
		return errors.Errorf("share %g is not above 0 and at most 100", l.Share)
	}
	if l.Ceiling < 1 {
		return errors.Errorf("ceiling %d is not at least 1", l.Ceiling)
	}
	if _, ok := flow.ParsePolicy(l.Recovery); !ok {
		return errors.Errorf("recovery %q is not latency, thrift or restart", l.Recovery)
	}
	return nil
}

// checkTarget requires an address with a port, a failure domain, and either models or a service.
func checkTarget(t conf.Target) error {
	if _, _, err := net.SplitHostPort(t.Address); err != nil {
		return fmt.Errorf("address %q: %w", t.Address, err)
	}
	if t.Domain == "" {
		return errors.New("failure-domain is missing")
	}
	if (len(t.Models) == 0) == (t.Service == "") {
		return errors.New("a target needs either models or a service")
	}
	return nil
}
