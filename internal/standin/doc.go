// Package standin plays what surrounds tealhall, for tests, the demo and
// benchmarks: the platform's configuration service and application endpoints,
// both over real HTTP on TCP, with faults that can be switched while they run.
// Nothing in the daemon depends on it.
package standin
