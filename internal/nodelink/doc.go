// Package nodelink connects the processes of one deployment by plain TCP. A link carries calls and one-way messages in both
// directions, and ends once nothing was heard for SilentAfter, so that a connection that went silent without a reset is
// noticed and replaced. It has no keys: it is for deployments whose settings carry none (docs/platform.md says what protects
// them). Deployments with certificates use package peernet.
package nodelink
