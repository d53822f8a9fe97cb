package gateway

import (
	"testing"

	"reachpulley/internal/config"
)

// Two processes of one gateway listen at the clients' address during an upgrade if the admin API is on, and only then.
func TestSecondProcessListensBesideTheFirst(t *testing.T) {
	for name, console := range map[string]string{"admin API on": "127.0.0.1:0", "admin API off": ""} {
		t.Run(name, func(t *testing.T) {
			first := Options{
				Config:   &config.Config{Listen: "127.0.0.1:0", Console: console},
				Operator: config.DefaultOperator(),
			}
			if err := first.Listen(); err != nil {
				t.Fatal(err)
			}
			defer first.Listener.Close()
			second := Options{
				Config:   &config.Config{Listen: first.Listener.Addr().String(), Console: console},
				Operator: config.DefaultOperator(),
			}
			err := second.Listen()
			if (err == nil) != (console != "") {
				t.Errorf("the second process: error %v", err)
			}
			if err == nil {
				second.Listener.Close()
				second.AdminListener.Close()
				first.AdminListener.Close()
			}
		})
	}
}
