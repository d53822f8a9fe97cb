// Doccheck reports packages and exported names without a doc comment. It exits with 1 if it finds any, and with 2 if it
// is called with wrong arguments or cannot read the source tree.
//
// Usage: doccheck DIR
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: doccheck DIR")
		os.Exit(2)
	}
	findings, err := check(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "doccheck:", err)
		os.Exit(2)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}
