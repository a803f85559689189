// Entry runs an instance of bramleywharf, which takes the requests of callers
// and passes them on to engines and services.
package main
