package contract

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// asyncAPIRoot returns the root of a document that has the key asyncapi. The package reads AsyncAPI from the YAML (or
// JSON) nodes: there is no well-known library, and only channels, operations and the extension are needed.
func asyncAPIRoot(text []byte) (*yaml.Node, bool) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil || len(document.Content) != 1 {
		return nil, false // parseOpenAPI reads the document then, and reports the error.
	}
	root := document.Content[0]
	return root, mappingValue(root, "asyncapi") != nil
}

// mappingValue returns the value of a key in a mapping; nil if there is none.
func mappingValue(n *yaml.Node, key string) *yaml.Node {
	if n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

// forEachEntry calls do with each key and value of a mapping, in the order of the document.
func forEachEntry(n *yaml.Node, do func(key, value *yaml.Node)) {
	if n == nil || n.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		do(n.Content[i], n.Content[i+1])
	}
}

// scalarText returns the text of a scalar; empty for any other node.
func scalarText(n *yaml.Node) string {
	if n == nil || n.Kind != yaml.ScalarNode {
		return ""
	}
	return n.Value
}

// The actions of an operation, from the point of view of the described application.
const (
	actionSend    = "send"
	actionReceive = "receive"
)

// asyncAPIReader reads one AsyncAPI document.
type asyncAPIReader struct {
	file       string
	root       *yaml.Node
	operations []*Operation
	faults     Faults
}

// parseAsyncAPI reads AsyncAPI 2.x, which lists operations under their channels, and 3.x, which has a separate list of
// operations.
func parseAsyncAPI(file string, root *yaml.Node) ([]*Operation, Faults) {
	r := &asyncAPIReader{file: file, root: root}
	node := mappingValue(root, "asyncapi")
	version := scalarText(node)
	switch {
	case strings.HasPrefix(version, "2."):
		r.readVersion2()
	case strings.HasPrefix(version, "3."):
		r.readVersion3()
	default:
		r.addFault(node, "/asyncapi", "AsyncAPI version %q is not supported, only 2.x and 3.x are", version)
	}
	return r.operations, r.faults
}

func (r *asyncAPIReader) position(at *yaml.Node, pointer string) SourcePosition {
	return SourcePosition{File: r.file, Line: at.Line, Pointer: pointer}
}

func (r *asyncAPIReader) addFault(at *yaml.Node, pointer, format string, args ...any) {
	fault := Fault{Position: r.position(at, pointer), Message: fmt.Sprintf(format, args...)}
	r.faults = append(r.faults, fault)
}

// readVersion2 reads the operations under each channel. In version 2, publish and subscribe are what others do: the
// application receives what others publish and sends what they subscribe to.
func (r *asyncAPIReader) readVersion2() {
	verbs := []struct{ key, action string }{
		{"publish", actionReceive},
		{"subscribe", actionSend},
	}
	forEachEntry(mappingValue(r.root, "channels"), func(address, channel *yaml.Node) {
		for _, verb := range verbs {
			node := mappingValue(channel, verb.key)
			if node == nil {
				continue
			}
			operation := &Operation{
				ID:       scalarText(mappingValue(node, "operationId")),
				Action:   verb.action,
				Channel:  address.Value,
				Position: r.position(node, "/channels/"+escapePointer(address.Value)+"/"+verb.key),
			}
			r.add(operation, node, channel)
		}
	})
}

// readVersion3 reads the list of operations and the channels that they refer to.
func (r *asyncAPIReader) readVersion3() {
	channels := mappingValue(r.root, "channels")
	forEachEntry(mappingValue(r.root, "operations"), func(id, node *yaml.Node) {
		pointer := "/operations/" + escapePointer(id.Value)
		action := scalarText(mappingValue(node, "action"))
		if action != actionSend && action != actionReceive {
			r.addFault(node, pointer+"/action", "the action %q is neither send nor receive", action)
			return
		}
		reference := scalarText(mappingValue(mappingValue(node, "channel"), "$ref"))
		name, ok := strings.CutPrefix(reference, "#/channels/")
		name = unescapePointer(name)
		channel := mappingValue(channels, name)
		if !ok || channel == nil {
			r.addFault(node, pointer+"/channel", "the reference %q is no channel of this document", reference)
			return
		}
		address := scalarText(mappingValue(channel, "address"))
		if address == "" { // The address is only known at run time, so the name of the channel replaces it.
			address = name
		}
		operation := &Operation{
			ID:       id.Value,
			Action:   action,
			Channel:  address,
			Position: r.position(node, pointer),
		}
		r.add(operation, node, channel)
	})
}

// add adds an operation. Its extension x-contract is its own or, if it has none, that of its channel.
func (r *asyncAPIReader) add(operation *Operation, node, channel *yaml.Node) {
	operation.Idempotency = NonIdempotent
	r.operations = append(r.operations, operation)
	extension := mappingValue(node, extensionKey)
	if extension == nil {
		extension = mappingValue(channel, extensionKey)
	}
	if extension == nil {
		return
	}
	var content any
	if err := extension.Decode(&content); err != nil {
		r.addFault(extension, operation.Position.Pointer+"/"+extensionKey, "%v", err)
		return
	}
	r.faults = append(r.faults, operation.applyExtension(content)...)
}
