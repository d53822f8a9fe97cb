package gateway

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"reachpulley/internal/config"
	"reachpulley/internal/listener"
)

// Options are the inputs from which a gateway is assembled. Once it is assembled, the gateway owns the
// listeners, and closes them when it ends.
type Options struct {
	Config        *config.Config
	Operator      *config.Operator
	Listener      net.Listener
	ISCSIListener net.Listener // nil if the iSCSI frontend is off
	H2CListener   net.Listener // nil if HTTP/2 is off
	AdminListener net.Listener // nil if the admin API is off
	Log           *slog.Logger

	// SharedDirectory is where the two processes of a gateway share their state during an upgrade. Empty: nowhere.
	SharedDirectory string

	// Dial opens connections to nodes and to discovery. Nil: the real network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	Reloads  <-chan os.Signal // each signal requests a reload
	Captures <-chan os.Signal // each signal requests a capture of what was recorded

	// Reload reads and checks the whole configuration.
	Reload func() (*config.Config, *config.Operator, error)
}

// ConfigError is a fault of the configuration that keeps a gateway from starting or from reloading.
type ConfigError struct {
	Key string // the key at fault
	Err error
}

// Error returns one line: KEY: MESSAGE.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the error without its key.
func (e *ConfigError) Unwrap() error { return e.Err }

// Listen listens on the configured addresses and sets the listeners of o. On an error, none of them stays open.
func (o *Options) Listen() error {
	type endpoint struct {
		key      string
		address  string
		listener *net.Listener
	}
	endpoints := []endpoint{{"listen", o.Config.Listen, &o.Listener}}
	if iscsi := o.Operator.ISCSI; iscsi != nil {
		endpoints = append(endpoints, endpoint{"iscsi.listen", iscsi.Listen, &o.ISCSIListener})
	}
	if h2c := o.Operator.H2C; h2c.Enabled {
		endpoints = append(endpoints, endpoint{"h2c.listen", h2c.Listen, &o.H2CListener})
	}
	var config net.ListenConfig
	if o.Config.Console != "" {
		// Operators who use the admin API also upgrade under load: a new process listens beside the old one.
		config.Control = reusePort
		endpoints = append(endpoints, endpoint{"console", o.Config.Console, &o.AdminListener})
	}
	var opened []net.Listener
	for _, e := range endpoints {
		opening, err := config.Listen(context.Background(), "tcp", e.address)
		if err != nil {
			return errors.Join(&ConfigError{Key: e.key, Err: err}, closeAll(opened))
		}
		*e.listener = listener.New(opening)
		opened = append(opened, opening)
	}
	return nil
}

// reusePort allows another process of the same user to listen on the address of a socket.
func reusePort(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return cmp.Or(err, optionErr)
}

func closeAll(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
