// Package site holds the configuration of routed requests: routes by host and
// path, services, organisations by key, and the targets of each service.
//
// All values are immutable. The package reads and writes no encoding: an
// adapter decodes what operators and targets declare into its types.
package site
