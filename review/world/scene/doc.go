// Package scene plays a small deployment on loopback: the platform's store, the processes of servers and instances, and
// the clients.
package scene
