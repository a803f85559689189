// Package scene plays the platform around instances: the store, the clients, the operator and the processes.
package scene
