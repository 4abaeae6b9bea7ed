// Command radishramp runs and operates entry VMs, the front ends that route requests to multi-stage model pipelines.
package main

import (
	"os"

	"radishramp.example/radishramp/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
