// Package scsihttp words SCSI commands as HTTP operations. Which operation stands for a command, and what it
// takes, is read from an OpenAPI description of the storage nodes.
package scsihttp

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// extension marks an operation with the SCSI command that it stands for.
const extension = "x-scsi"

const nodeHost = "origin.svc"

// HTTP translates for nodes that an OpenAPI description describes.
type HTTP struct {
	settings    scheduler.Settings
	read, write *operation
}

type operation struct {
	method string
	path   string // with {name} where a parameter goes
	params []*openapi3.Parameter
}

// Load reads a description and checks that it has all that both commands need.
func Load(path string, settings scheduler.Settings) (*HTTP, error) {
	doc, err := openapi3.NewLoader().LoadFromFile(path)
	if err != nil {
		return nil, err
	}
	t := &HTTP{settings: settings}
	for path, item := range doc.Paths.Map() {
		for method, op := range item.Operations() {
			command, _ := op.Extensions[extension].(string)
			o := &operation{method: method, path: path}
			switch {
			case command == "read" && t.read == nil:
				t.read = o
			case command == "write" && t.write == nil:
				t.write = o
			case command != "":
				return nil, fmt.Errorf("%s %s: %s: %q is unknown or named twice", method, path, extension, command)
			default:
				continue
			}
			if err := o.learn(item.Parameters, op.Parameters); err != nil {
				return nil, err
			}
		}
	}
	if t.read == nil || t.write == nil {
		return nil, fmt.Errorf("%s: no operation for read or none for write", extension)
	}
	return t, nil
}

// learn takes an operation's parameters; what is required must be a value that a command has.
func (o *operation) learn(lists ...openapi3.Parameters) error {
	known := values(scheduler.Settings{}, scheduler.Request{}, &iscsi.Command{})
	for _, list := range lists {
		for _, ref := range list {
			p := ref.Value
			if _, ok := known[p.Name]; ok {
				o.params = append(o.params, p)
			} else if p.Required && p.Name != httpmsg.DeadlineHeader { // what is left is set when it is sent
				return fmt.Errorf("%s %s: no command has the parameter %s", o.method, o.path, p.Name)
			}
		}
	}
	return nil
}

// values are the parameters that a command can fill.
func values(s scheduler.Settings, q scheduler.Request, c *iscsi.Command) map[string]string {
	v := map[string]string{
		"volume": q.Volume, "key": q.Key, "lba": strconv.FormatUint(c.LBA, 10),
		"blocks": strconv.Itoa(int(c.Blocks)), "length": strconv.Itoa(c.Length()), httpmsg.IDHeader: q.ID,
		httpmsg.KeyHeader: "", httpmsg.ClassHeader: "", httpmsg.PlanHeader: "",
		httpmsg.PlacementHeader: fmt.Sprintf("units=%v,shard=%d,hosts=%d", q.Units, q.Shard, q.Hosts),
	}
	if q.Class < len(s.Classes) {
		v[httpmsg.ClassHeader] = s.Classes[q.Class].Name
		if s.Classes[q.Class].Idempotency == scheduler.IdempotentWithKey {
			v[httpmsg.KeyHeader] = q.ID
		}
	}
	if q.Plan < len(s.Plans) {
		v[httpmsg.PlanHeader] = s.Plans[q.Plan].Name
	}
	return v
}

// Request words a command as a request to a node.
func (t *HTTP) Request(q scheduler.Request, c *iscsi.Command) (any, error) {
	o := t.read
	if c.Write {
		o = t.write
	}
	v := values(t.settings, q, c)
	r := &httpmsg.Request{Method: o.method, Host: nodeHost, Header: http.Header{}, Body: c.Data}
	path, query := o.path, url.Values{}
	for _, p := range o.params {
		value := v[p.Name]
		switch {
		case value == "" && !p.Required:
		case p.In == openapi3.ParameterInPath:
			path = strings.ReplaceAll(path, "{"+p.Name+"}", url.PathEscape(value))
		case p.In == openapi3.ParameterInQuery:
			query.Set(p.Name, value)
		case p.In == openapi3.ParameterInHeader:
			r.Header.Set(p.Name, value)
		}
	}
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	u.RawQuery = query.Encode()
	r.URL = u
	return r, nil
}

// Data gives what a node read.
func (t *HTTP) Data(reply any) ([]byte, error) {
	r, ok := reply.(*httpmsg.Reply)
	if !ok {
		return nil, fmt.Errorf("reply %T is not of a node that speaks HTTP", reply)
	}
	return r.Body, nil
}
