// Package roster holds which processes of the system there are and which of them are alive. No list is configured: every
// process tells the replicas of the control group about itself, and they tell all others. It is pure; time is passed in.
package roster
