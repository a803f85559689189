package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// ErrStranger is returned when the other end does not hold the fleet's key.
var ErrStranger = errors.New("peer does not hold the fleet's key")

// protocol is the ALPN name of the protocol between instances.
const protocol = "bramleywharf-peer-1"

// certificateLife is long, since trust rests on the key and not on the dates.
const certificateLife = 10 * 365 * 24 * time.Hour

// fleetTLS derives the fleet's key pair from its secret and returns settings with which both ends prove that they hold it.
func fleetTLS(secret []byte) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, secret, nil, "bramleywharf peer key", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive peer key: %w", err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, ok := private.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("peer key has no public part")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "bramleywharf"},
		NotBefore:    now.Add(-certificateLife),
		NotAfter:     now.Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("make peer certificate: %w", err)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // The key itself is compared below; names and dates prove nothing here.
		VerifyConnection:   holdsKey(public),
		NextProtos:         []string{protocol},
		MinVersion:         tls.VersionTLS13,
	}, nil
}

// holdsKey returns a check that the other end's certificate carries the fleet's key.
func holdsKey(public ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrStranger
		}
		other, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || subtle.ConstantTimeCompare(other, public) != 1 {
			return ErrStranger
		}
		return nil
	}
}
