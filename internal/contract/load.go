package contract

import (
	"fmt"
	"os"
	"strings"
)

// MaxFileBytes is the maximum size of a description file.
const MaxFileBytes = 32 << 20

// Load reads OpenAPI and AsyncAPI descriptions in JSON or YAML. The error is of type Faults and lists the faults of all
// files. Of a file that is not valid YAML or not valid OpenAPI, it has only one fault.
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
		return nil, fileFault(path,
			fmt.Sprintf("the file has %d bytes, more than %d MiB", info.Size(), MaxFileBytes>>20))
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fileFault(path, err.Error())
	}
	return Parse(path, text)
}

// fileFault returns a single fault that concerns a file as a whole.
func fileFault(path, message string) Faults {
	return Faults{{Position: SourcePosition{File: path}, Message: message}}
}

// Parse reads one description. The path only names it in faults and positions.
func Parse(path string, text []byte) ([]*Operation, Faults) {
	if root, ok := asyncAPIRoot(text); ok {
		return parseAsyncAPI(path, root)
	}
	return parseOpenAPI(path, text)
}
