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

// ErrWrongFleetKey is returned when the other end's certificate does not carry the fleet's key.
var ErrWrongFleetKey = errors.New("peer does not hold the fleet's key")

// alpnProtocol is the ALPN name of the protocol between instances.
const alpnProtocol = "bramleywharf-peer-1"

// certificateValidity is long since instances trust the key and ignore the dates.
const certificateValidity = 10 * 365 * 24 * time.Hour

// fleetTLS derives the fleet's key pair from its secret and returns a configuration for mutual TLS with that key.
func fleetTLS(secret []byte) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, secret, nil, "bramleywharf peer key", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive peer key: %w", err)
	}
	privateKey := ed25519.NewKeyFromSeed(seed)
	publicKey, ok := privateKey.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("peer key has no public part")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "bramleywharf"},
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return nil, fmt.Errorf("create peer certificate: %w", err)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: privateKey}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection compares the key; names and dates are not checked.
		VerifyConnection:   verifyFleetKey(publicKey),
		NextProtos:         []string{alpnProtocol},
		MinVersion:         tls.VersionTLS13,
	}, nil
}

// verifyFleetKey returns a function that verifies that the other end's certificate carries the fleet's key.
func verifyFleetKey(publicKey ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrWrongFleetKey
		}
		peerKey, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || subtle.ConstantTimeCompare(peerKey, publicKey) != 1 {
			return ErrWrongFleetKey
		}
		return nil
	}
}
