// Package scsihttp translates SCSI commands to HTTP requests, so that storage nodes that speak HTTP can serve iSCSI
// clients. An OpenAPI description of the storage nodes tells which HTTP operation carries out a command and which
// parameters it takes.
package scsihttp

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// commandExtension is the extension of an OpenAPI operation that names the SCSI command that the operation carries out.
const commandExtension = "x-scsi"

// Values of commandExtension.
const (
	readCommand  = "read"
	writeCommand = "write"
)

// nodeHost is the Host header of requests to nodes.
const nodeHost = "origin.svc"

// Translator translates commands to HTTP requests for nodes that one OpenAPI description describes.
type Translator struct {
	settings scheduler.Settings
	read     *operation
	write    *operation
}

// operation is the HTTP operation that carries out SCSI reads or SCSI writes.
type operation struct {
	method     string
	path       string // with {name} in place of each path parameter
	parameters []*openapi3.Parameter
}

// Load reads an OpenAPI description from a file and returns the translator for its nodes. It returns an error if the
// description lacks an operation for one of the commands or has two, if an operation names an unknown command, or if it
// requires a parameter for which commands have no value.
func Load(path string, settings scheduler.Settings) (*Translator, error) {
	description, err := openapi3.NewLoader().LoadFromFile(path)
	if err != nil {
		return nil, err
	}
	t := &Translator{settings: settings}
	for path, item := range description.Paths.Map() {
		for method, described := range item.Operations() {
			if err := t.add(method, path, item, described); err != nil {
				return nil, err
			}
		}
	}
	if t.read == nil || t.write == nil {
		return nil, fmt.Errorf("%s: no operation has the value %q or none has %q",
			commandExtension, readCommand, writeCommand)
	}
	return t, nil
}

// add adds an operation of the description to the translator if it carries out a command.
func (t *Translator) add(method, path string, item *openapi3.PathItem, described *openapi3.Operation) error {
	command, _ := described.Extensions[commandExtension].(string)
	o := &operation{method: method, path: path}
	switch {
	case command == "":
		return nil
	case command == readCommand && t.read == nil:
		t.read = o
	case command == writeCommand && t.write == nil:
		t.write = o
	default:
		return fmt.Errorf("%s %s: %s: command %q is unknown or has another operation already",
			method, path, commandExtension, command)
	}
	if err := o.addParameters(item.Parameters); err != nil {
		return err
	}
	return o.addParameters(described.Parameters)
}

// addParameters adds the parameters for which commands have a value to the operation. Any other parameter must be
// optional, except for the deadline, which is set when the request is sent.
func (o *operation) addParameters(parameters openapi3.Parameters) error {
	known := parameterValues(scheduler.Settings{}, scheduler.Request{}, &iscsi.Command{})
	for _, reference := range parameters {
		parameter := reference.Value
		if _, ok := known[parameter.Name]; ok {
			o.parameters = append(o.parameters, parameter)
			continue
		}
		if parameter.Required && parameter.Name != httpmsg.DeadlineHeader {
			return fmt.Errorf("%s %s: SCSI commands have no value for the required parameter %q",
				o.method, o.path, parameter.Name)
		}
	}
	return nil
}

// parameterValues returns the values of all parameters that a command can have, by name.
func parameterValues(settings scheduler.Settings, request scheduler.Request, command *iscsi.Command) map[string]string {
	values := map[string]string{
		"volume":                     request.Volume,
		"key":                        request.Key,
		"lba":                        strconv.FormatUint(command.LBA, 10),
		"blocks":                     strconv.Itoa(int(command.Blocks)),
		"length":                     strconv.Itoa(command.Length()),
		httpmsg.IDHeader:             request.ID,
		httpmsg.IdempotencyKeyHeader: "",
		httpmsg.ClassHeader:          "",
		httpmsg.PlanHeader:           "",
		httpmsg.PlacementHeader: fmt.Sprintf("units=%v,shard=%d,hosts=%d",
			request.Units, request.Shard, request.Hosts),
	}
	if request.Class < len(settings.Classes) {
		class := settings.Classes[request.Class]
		values[httpmsg.ClassHeader] = class.Name
		if class.Idempotency == scheduler.IdempotentWithKey {
			values[httpmsg.IdempotencyKeyHeader] = request.ID
		}
	}
	if request.Plan < len(settings.Plans) {
		values[httpmsg.PlanHeader] = settings.Plans[request.Plan].Name
	}
	return values
}

// Request returns the HTTP request that carries out a command. It is an *httpmsg.Request.
func (t *Translator) Request(request scheduler.Request, command *iscsi.Command) (any, error) {
	o := t.read
	if command.Write {
		o = t.write
	}
	path := o.path
	query := url.Values{}
	header := http.Header{}
	values := parameterValues(t.settings, request, command)
	for _, parameter := range o.parameters {
		value := values[parameter.Name]
		switch {
		case value == "" && !parameter.Required:
		case parameter.In == openapi3.ParameterInPath:
			path = strings.ReplaceAll(path, "{"+parameter.Name+"}", url.PathEscape(value))
		case parameter.In == openapi3.ParameterInQuery:
			query.Set(parameter.Name, value)
		case parameter.In == openapi3.ParameterInHeader:
			header.Set(parameter.Name, value)
		}
	}
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	target.RawQuery = query.Encode()
	return &httpmsg.Request{
		Method: o.method,
		URL:    target,
		Host:   nodeHost,
		Header: header,
		Body:   httpmsg.BodyOf(command.Data),
	}, nil
}

// PassesKey reports whether the operation for a command has the header for the idempotency key.
func (t *Translator) PassesKey(command *iscsi.Command) bool {
	o := t.read
	if command.Write {
		o = t.write
	}
	return slices.ContainsFunc(o.parameters, func(parameter *openapi3.Parameter) bool {
		return parameter.In == openapi3.ParameterInHeader && parameter.Name == httpmsg.IdempotencyKeyHeader
	})
}

// Data returns the data in a node's reply, which must be an *httpmsg.Reply.
func (t *Translator) Data(reply any) ([]byte, error) {
	r, ok := reply.(*httpmsg.Reply)
	if !ok {
		return nil, fmt.Errorf("scsihttp: reply of node has type %T, want *httpmsg.Reply", reply)
	}
	return r.Body, nil
}
