// Package nodelink connects the processes of one deployment over plain TCP. A link carries calls and one-way messages in both
// directions. It is closed if nothing arrives for IdleTimeout, so that a connection that failed without a reset is detected
// and replaced. Links are neither encrypted nor authenticated: they are for deployments whose settings contain no keys.
// docs/platform.md describes what protects these. Deployments with certificates use package peernet.
package nodelink
