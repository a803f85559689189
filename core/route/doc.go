// Package route decides where work goes: which targets an instance watches,
// which of them takes a request, and which instances a caller is told to use.
package route
