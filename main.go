// Command bramleymast is a layer-4 load balancer configured by one contract for each customer service.
package main

import (
	"context"
	"os"

	"github.com/bramleymast/bramleymast/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(context.Background()))
}
