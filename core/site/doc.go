// Package site holds the configuration of routed requests: routes by host and
// path, services, organisations by key, and the targets of each service.
//
// Its values are immutable and know no encoding; an adapter decodes what
// operators and targets declare into them.
package site
