// Stand runs stand-ins for the systems around bramleywharf: the platform, model engines and plain services.
package main
