// Wharfctl is the operators' command line of bramleywharf.
package main
