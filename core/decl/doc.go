// Package decl encodes, decodes and checks configuration: objects as the
// platform stores them, and declaration files that operators keep in version
// control.
package decl
