// Command radishramp serves multi-stage model pipelines from entry VMs.
package main

import (
	"os"

	"radishramp.example/radishramp/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
