// Program stand3 plays the scripts of the third review: each case starts the project's instances, stand-ins of the
// platform's store, servers and clients, and checks one rule.
package main
