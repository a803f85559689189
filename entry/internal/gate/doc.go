// Package gate admits generations to engines.
//
// A generation is admitted at once while an engine has a free slot and the
// queue is empty. Otherwise it waits, and a controller assigns free slots of
// the watched engines to waiting generations by the shares of their
// organisations. Calls to plain services are not queued.
package gate
