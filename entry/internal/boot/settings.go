package boot

import (
	"encoding/hex"
	"net"
	"net/url"
	"time"

	"bramleywharf.example/core/decl"
	"bramleywharf.example/core/opts"
	"github.com/spf13/pflag"
)

// minSecretBytes is the minimum length of the fleet secret.
const minSecretBytes = 16

// Settings holds the settings of an entry instance. The usage texts in Bind describe the fields.
type Settings struct {
	Name          string
	Domain        string
	Listen        string
	PeerListen    string
	AdminListen   string
	Advertise     string
	PeerAdvertise string
	Platform      string
	PlatformToken string
	FleetSecret   string
	OperatorHash  string
	Seeds         []string
	Budget        int
	Costly        int
	Linger        time.Duration
	LameDuck      time.Duration
	DrainTimeout  time.Duration
	LogLevel      string
}

// Bind adds a flag for each setting, with its default.
func (s *Settings) Bind(flags *pflag.FlagSet) {
	flags.StringVar(&s.Name, "name", "", "name of this instance, unique in the fleet")
	flags.StringVar(&s.Domain, "failure-domain", "", "failure domain that this instance is in")
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "TCP address for callers")
	flags.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8081", "UDP address for other instances")
	flags.StringVar(&s.AdminListen, "admin-listen", "127.0.0.1:8082", "TCP address for operators: metrics, status, health and drain")
	flags.StringVar(&s.Advertise, "advertise", "", "address that callers are told; empty for --listen")
	flags.StringVar(&s.PeerAdvertise, "peer-advertise", "", "address that other instances are told; empty for --peer-listen")
	flags.StringVar(&s.Platform, "platform", "", "base URL of the platform's object API")
	flags.StringVar(&s.PlatformToken, "platform-token", "", "bearer token for the platform")
	flags.StringVar(&s.FleetSecret, "fleet-secret", "", "secret that all instances share; event ids and peer connections rest on it")
	flags.StringVar(&s.OperatorHash, "operator-key-hash", "", "SHA-256 hash, in hexadecimal, of the key that operators show")
	flags.StringSliceVar(&s.Seeds, "seeds", nil, "peer addresses to ask when the platform's list cannot be had")
	flags.IntVar(&s.Budget, "target-budget", 24, "engines watched, shared evenly by the models declared, at least 3 for each")
	flags.IntVar(&s.Costly, "costly-after", 64, "tokens after which a generation is copied to a keeper")
	flags.DurationVar(&s.Linger, "linger", 15*time.Second, "time that a generation goes on after its caller left")
	flags.DurationVar(&s.LameDuck, "lame-duck", 5*time.Second, "time in which a leaving instance still takes new calls, at least the life of an address answer")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", time.Hour, "longest time that a leaving instance waits for its generations")
	flags.StringVar(&s.LogLevel, "log-level", "info", "least level of log lines: debug, info, warn or error")
}

// Check returns one error that lists every invalid setting, or nil.
func (s *Settings) Check() error {
	var checks opts.Checks
	checks.Require(decl.IsValidName(s.Name), "--name %q must be lower-case letters, digits, dots and dashes", s.Name)
	checks.Require(s.Domain != "", "--failure-domain is missing")
	for flag, address := range map[string]string{"listen": s.Listen, "peer-listen": s.PeerListen, "admin-listen": s.AdminListen} {
		_, _, err := net.SplitHostPort(address)
		checks.Require(err == nil, "--%s %q must be an address with a port", flag, address)
	}
	platformURL, err := url.Parse(s.Platform)
	checks.Require(err == nil && platformURL.Host != "", "--platform %q must be a URL", s.Platform)
	checks.Require(len(s.FleetSecret) >= minSecretBytes, "--fleet-secret needs at least %d bytes", minSecretBytes)
	operatorHash, err := hex.DecodeString(s.OperatorHash)
	checks.Require(err == nil && len(operatorHash) == 32, "--operator-key-hash must be 64 hexadecimal digits")
	checks.Require(s.Budget > 0, "--target-budget must be at least 1")
	checks.Require(s.Costly > 0, "--costly-after must be at least 1")
	checks.Require(s.Linger >= 0, "--linger must not be negative")
	checks.Require(s.LameDuck >= 0 && s.DrainTimeout >= 0, "--lame-duck and --drain-timeout must not be negative")
	return checks.Err()
}
