// Package body reads the bodies of callers' requests for any front.
package body
