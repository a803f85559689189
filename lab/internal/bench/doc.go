// Package bench measures the effects of faults on generations: the time until
// the next token arrives and the extra work of the engines. One run against
// real processes compares the recovery policies with a plain restart.
package bench
