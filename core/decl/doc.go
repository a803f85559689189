// Package decl encodes and decodes configuration: objects as the platform
// stores them, and declaration files as operators keep them in version control.
package decl
