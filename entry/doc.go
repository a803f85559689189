// Entry runs an entry instance of bramleywharf.
package main
