package contract

import (
	"fmt"
	"os"
	"strings"
)

// MaxFileBytes bounds a description.
const MaxFileBytes = 32 << 20

// Load reads OpenAPI and AsyncAPI descriptions, JSON or YAML. The error is Faults: all that is wrong.
func Load(paths ...string) ([]*Operation, error) {
	var all []*Operation
	var faults Faults
	for _, path := range paths {
		operations, fileFaults := loadFile(path)
		all = append(all, operations...)
		faults = append(faults, fileFaults...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if len(all) == 0 {
		return nil, fileFault(strings.Join(paths, ", "), "no operation is described")
	}
	return all, nil
}

func loadFile(path string) ([]*Operation, Faults) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fileFault(path, err.Error())
	}
	if info.Size() > MaxFileBytes {
		return nil, fileFault(path, fmt.Sprintf("the file is larger than %d MiB", MaxFileBytes>>20))
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fileFault(path, err.Error())
	}
	return Parse(path, text)
}

// fileFault is a fault of a file as a whole.
func fileFault(path, message string) Faults {
	return Faults{{Position: SourcePosition{File: path}, Message: message}}
}

// Parse reads one description; the path only names it.
func Parse(path string, text []byte) ([]*Operation, Faults) {
	if root, ok := asyncAPIRoot(text); ok {
		return parseAsyncAPI(path, root)
	}
	return parseOpenAPI(path, text)
}
