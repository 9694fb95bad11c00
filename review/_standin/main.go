// Command standin plays the cases of the review that are scripts: the platform's store,
// workers and clients as stand-ins, and the entry hosts as processes.
package main

import "os"

func main() {
	begin(os.Args[2])
	switch os.Args[1] {
	case "closing":
		caseClosing()
	case "bodies":
		caseBodies()
	case "revoked":
		caseRevoked()
	case "silence":
		caseSilence(false)
	case "preempted":
		caseSilence(true)
	default:
		cannotRun("no case " + os.Args[1])
	}
}
