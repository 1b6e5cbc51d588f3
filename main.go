// Command bramleymast is a layer-4 load balancer that is driven by contracts.
package main

import (
	"context"
	"os"

	"github.com/bramleymast/bramleymast/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(context.Background()))
}
