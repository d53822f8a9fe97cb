package contract

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// asyncAPIRoot returns the root of a document that calls itself AsyncAPI. Only channels, operations and the extension
// of such a document are needed, so they are read from the YAML (or JSON) itself; there is no well-known library.
func asyncAPIRoot(text []byte) (*yaml.Node, bool) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil || len(document.Content) != 1 {
		return nil, false // The reader of OpenAPI reports what is wrong.
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

// forEachEntry calls do with every key and value of a mapping, in their order.
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

// The actions of an operation, from the view of the described application.
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

// parseAsyncAPI reads AsyncAPI 2.6, which lists operations at their channels, and 3.0, which lists them on their own.
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
		r.addFault(node, "/asyncapi", "AsyncAPI version %q is not supported; 2.x and 3.x are", version)
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

// readVersion2 reads the operations of channels. What others publish to the application, it receives; what they
// subscribe to, it sends.
func (r *asyncAPIReader) readVersion2() {
	actions := []struct{ key, action string }{
		{"publish", actionReceive},
		{"subscribe", actionSend},
	}
	forEachEntry(mappingValue(r.root, "channels"), func(address, channel *yaml.Node) {
		for _, one := range actions {
			node := mappingValue(channel, one.key)
			if node == nil {
				continue
			}
			operation := &Operation{
				ID:       scalarText(mappingValue(node, "operationId")),
				Action:   one.action,
				Channel:  address.Value,
				Position: r.position(node, "/channels/"+escapePointer(address.Value)+"/"+one.key),
			}
			r.add(operation, node, channel)
		}
	})
}

// readVersion3 reads the list of operations.
func (r *asyncAPIReader) readVersion3() {
	channels := mappingValue(r.root, "channels")
	forEachEntry(mappingValue(r.root, "operations"), func(id, node *yaml.Node) {
		pointer := "/operations/" + escapePointer(id.Value)
		action := scalarText(mappingValue(node, "action"))
		if action != actionSend && action != actionReceive {
			r.addFault(node, pointer+"/action", "%q is neither send nor receive", action)
			return
		}
		reference := scalarText(mappingValue(mappingValue(node, "channel"), "$ref"))
		name, ok := strings.CutPrefix(reference, "#/channels/")
		name = unescapePointer(name)
		channel := mappingValue(channels, name)
		if !ok || channel == nil {
			r.addFault(node, pointer+"/channel", "%q is no channel of this document", reference)
			return
		}
		address := scalarText(mappingValue(channel, "address"))
		if address == "" { // It is set when the channel is used, so the name stands for it.
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

// add adds an operation with its extension or, if it has none, that of its channel.
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
