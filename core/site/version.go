package site

import (
	"math/big"
	"strings"
)

// versionPrecision is the number of bits with which versions are compared as numbers; a time in nanoseconds takes 61.
const versionPrecision = 256

// LaterVersion reports whether version a of the configuration is later than b. They are compared as numbers, or as text
// unless both are numbers. Quotes around a version do not count.
func LaterVersion(a, b string) bool {
	a, b = strings.Trim(a, `"`), strings.Trim(b, `"`)
	x, xOK := versionNumber(a)
	y, yOK := versionNumber(b)
	if xOK && yOK {
		return x.Cmp(y) > 0
	}
	return a > b
}

// versionNumber returns the number that a version is, and false if it is none. Names of infinity count as text.
func versionNumber(version string) (*big.Float, bool) {
	if strings.ContainsAny(version, "iIfF") {
		return nil, false
	}
	number, _, err := big.ParseFloat(version, 10, versionPrecision, big.ToNearestEven)
	return number, err == nil
}
