package contract

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// asyncRoot gives the root of a document that calls itself AsyncAPI. The registry holds no reader of it that is well known, and of a description
// only channels, operations and the vocabulary are wanted here, so they are read from the YAML (or JSON) itself.
func asyncRoot(text []byte) (*yaml.Node, bool) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil || len(doc.Content) != 1 {
		return nil, false // whoever reads OpenAPI tells what is wrong
	}
	root := doc.Content[0]
	return root, value(root, "asyncapi") != nil
}

// value gives what a mapping has at a key; nil where it has nothing.
func value(n *yaml.Node, key string) *yaml.Node {
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

// each calls do with every key and value of a mapping, in their order.
func each(n *yaml.Node, do func(key *yaml.Node, value *yaml.Node)) {
	if n == nil || n.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		do(n.Content[i], n.Content[i+1])
	}
}

func text(n *yaml.Node) string {
	if n == nil || n.Kind != yaml.ScalarNode {
		return ""
	}
	return n.Value
}

// asyncReader reads one AsyncAPI document.
type asyncReader struct {
	file   string
	root   *yaml.Node
	all    []*Operation
	faults Faults
}

// loadAsync reads AsyncAPI 2.6, where operations stand at their channels, and 3.0, where they stand by themselves.
func loadAsync(file string, root *yaml.Node) ([]*Operation, Faults) {
	r := &asyncReader{file: file, root: root}
	version := value(root, "asyncapi")
	switch {
	case strings.HasPrefix(text(version), "2."):
		r.atChannels()
	case strings.HasPrefix(text(version), "3."):
		r.byThemselves()
	default:
		r.fault(version, "/asyncapi", "AsyncAPI of version %q is not read; 2.x and 3.x are", text(version))
	}
	return r.all, r.faults
}

func (r *asyncReader) place(at *yaml.Node, pointer string) SourcePosition {
	return SourcePosition{File: r.file, Line: at.Line, Pointer: pointer}
}

func (r *asyncReader) fault(at *yaml.Node, pointer, format string, args ...any) {
	r.faults = append(r.faults, Fault{r.place(at, pointer), fmt.Sprintf(format, args...)})
}

// escape makes a key part of a pointer (RFC 6901, section 3).
func escape(key string) string { return strings.NewReplacer("~", "~0", "/", "~1").Replace(key) }

// atChannels reads version 2: what others may publish to the application, it receives; what they may subscribe to, it sends.
func (r *asyncReader) atChannels() {
	each(value(r.root, "channels"), func(address, channel *yaml.Node) {
		for _, one := range []struct{ word, action string }{{"publish", "receive"}, {"subscribe", "send"}} {
			op := value(channel, one.word)
			if op == nil {
				continue
			}
			pointer := "/channels/" + escape(address.Value) + "/" + one.word
			r.add(&Operation{ID: text(value(op, "operationId")), Action: one.action, Channel: address.Value, Position: r.place(op, pointer)}, op, channel)
		}
	})
}

// byThemselves reads version 3.
func (r *asyncReader) byThemselves() {
	channels := value(r.root, "channels")
	each(value(r.root, "operations"), func(id, op *yaml.Node) {
		pointer := "/operations/" + escape(id.Value)
		action := text(value(op, "action"))
		if action != "send" && action != "receive" {
			r.fault(op, pointer+"/action", "%q is neither send nor receive", action)
			return
		}
		ref := text(value(value(op, "channel"), "$ref"))
		name, ok := strings.CutPrefix(ref, "#/channels/")
		name = strings.NewReplacer("~1", "/", "~0", "~").Replace(name)
		channel := value(channels, name)
		if !ok || channel == nil {
			r.fault(op, pointer+"/channel", "%q is no channel of this document", ref)
			return
		}
		address := text(value(channel, "address"))
		if address == "" { // it is given when the channel is used, so its name stands for it
			address = name
		}
		r.add(&Operation{ID: id.Value, Action: action, Channel: address, Position: r.place(op, pointer)}, op, channel)
	})
}

// add takes an operation with what the vocabulary says of it or, where it says nothing, of its channel.
func (r *asyncReader) add(o *Operation, op, channel *yaml.Node) {
	o.Idempotency = NonIdempotent
	r.all = append(r.all, o)
	said := value(op, extension)
	if said == nil {
		said = value(channel, extension)
	}
	if said == nil {
		return
	}
	var content any
	if err := said.Decode(&content); err != nil {
		r.fault(said, o.Position.Pointer+"/"+extension, "%v", err)
		return
	}
	r.faults = append(r.faults, o.say(content)...)
}
