// Command harness runs the scripted cases of the review. It starts entry processes of the project with the command of the
// deploy file, on loopback addresses, and plays the platform, the operator, the clients and the servers itself.
//
//	review-harness CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main
