package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestConnectionsGoAwayByAgeAtSpreadTimes(t *testing.T) {
	c := newController(t, func(config *Config) {
		config.MaxConnections = 100
		config.Requests = 50
	})
	for id := range ConnectionID(100) {
		c.Connect(0, id+1, "a")
	}
	early := len(c.Tick(testConfig.Age * 9 / 10))
	late := len(c.Tick(testConfig.Age * 12 / 10))
	if early < 10 || early > 40 || early+late != 100 {
		t.Errorf("of 100 connections, %d go away by 90%% of Age, want 10 to 40; %d more by 120%%, want all others",
			early, late)
	}
}

func TestConnectionGoesAwayAfterItsRequests(t *testing.T) {
	c := newController(t, func(config *Config) { config.Requests = 50 })
	c.Connect(0, 1, "a")
	for sid := StreamID(1); ; sid += 2 {
		got := describe(c.Arrive(0, 1, sid, "x", 3))
		c.End(0, 1, sid, false)
		if strings.HasSuffix(got, "go away 1 requests") {
			if requests := int(sid+1) / 2; requests < 40 || requests > 60 {
				t.Errorf("asked to go away after %d requests, want 50 plus or minus a fifth", requests)
			}
			break
		}
		if sid > 200 {
			t.Fatal("the connection is not asked to go away after 100 requests, want 50 plus or minus a fifth")
		}
	}
	expect(t, "a stream opened before the client gets the GOAWAY", c.Arrive(0, 1, 999, "x", 3), "start 1/999")
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
	}{
		{"no streams in flight", func(c *Config) { c.MaxInFlight = 0 }},
		{"min streams above streams", func(c *Config) { c.MinStreams = 11 }},
		{"memory below memory per connection", func(c *Config) { c.MemoryBytes = 1 }},
		{"age below 0", func(c *Config) { c.Age = -1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig
			test.change(&config)
			if _, err := New(config, 1); err == nil {
				t.Errorf("config %+v is accepted, want an error", config)
			}
		})
	}
}

// BenchmarkArrive measures the admission of a request beside one or 1,000 connections of 99 streams each.
func BenchmarkArrive(b *testing.B) {
	for _, connections := range []int{1, 1000} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			c, err := New(Config{
				MaxInFlight:           64,
				PerConnection:         32,
				PerClient:             64,
				MaxStreams:            200,
				MinStreams:            200,
				MaxConnections:        2000,
				MemoryBytes:           1 << 20,
				ConnectionMemoryBytes: 1 << 20,
				Stall:                 time.Second,
			}, 1)
			if err != nil {
				b.Fatal(err)
			}
			for id := range connections {
				c.Connect(0, ConnectionID(id), "a")
				for i := range 99 {
					c.Arrive(0, ConnectionID(id), StreamID(i+1), "x", i%8)
				}
			}
			for i := 0; b.Loop(); i++ {
				sid := StreamID(1000 + i)
				c.Arrive(0, 0, sid, "y", 3)
				c.End(0, 0, sid, false)
			}
		})
	}
}
