// Stand runs stand-ins for the systems that bramleywharf meets: the platform, model engines and plain services.
package main
