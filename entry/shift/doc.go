// Package shift moves the traffic of services to new versions as the operator
// orders it.
//
// One elected instance decides the steps with package canary and stores the
// state before it acts on it. All instances follow the stored state and exchange
// their evidence in load reports. Each stops sending to a version as soon as the
// evidence that it holds is against it.
package shift
