// Package filter holds the filters that every call passes: record, identify,
// check and limit.
package filter
