// Package demo runs the main use cases against running processes: two long
// generations, the kill of an engine, an order, a caller that resumes at
// another instance and a planned stop. It prints a line for each guarantee
// that it checks.
package demo
