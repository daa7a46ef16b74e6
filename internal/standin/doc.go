// Package standin simulates the environment of tealhall for tests, the demo and benchmarks: the
// platform's configuration service and application endpoints. Both serve real HTTP over TCP and
// have faults that can be switched on and off at run time. The daemon does not depend on this
// package.
package standin
