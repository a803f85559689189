// Package steer orders engines to load the models that they are declared with.
//
// One instance, the holder of a lease in the platform, reads from each engine
// which models it has loaded and orders it to load the declared ones if they
// differ. It sends only a few orders at a time, as engines fetch models from a
// rate-limited weight store.
package steer
