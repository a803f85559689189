// Command world plays the cases of the review: it starts instances with the
// command of the deploy file, and is itself the platform's store, the servers
// and the clients. Servers run as processes of their own.
package main
