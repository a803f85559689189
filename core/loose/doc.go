// Package loose splits JSON values whose parts come from different writers.
//
// encoding/json rejects a value as a whole if one part of it is nested too
// deeply or is no JSON. This package finds where each part ends and leaves it
// to the caller to decode the parts one by one.
package loose
