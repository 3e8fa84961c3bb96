package demo

import (
	"sync"
	"time"

	"ravenwheel/internal/lab/load"
)

// classFractions are the fractions of the requests by class, in the order of the operator's file. Further classes use them again
// from the first on.
var classFractions = []float64{0.53, 0.44, 0.03}

// Settings of the client.
const (
	clientSeed     = 7
	clientConns    = 8
	clientObjects  = 400
	clientRetries  = 3
	partsPerObject = 12 // for classes whose objects are divided into parts
)

// startTraffic sends requests at a fixed rate until stop is called.
func (d *demonstration) startTraffic() (stop func()) {
	d.client = load.New(load.Options{
		Addr: d.config.Listen, Clock: d.clock, Seed: clientSeed, Conns: clientConns, Objects: clientObjects, Classes: d.classes(),
		Retries: clientRetries,
	})
	stopped := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		d.sendRequests(stopped)
	}()
	d.printf("clients send %.0f requests per second: replays in parts, assets and seat claims", d.options.Rate)
	return func() {
		close(stopped)
		wait.Wait()
	}
}

// sendRequests sends requests at the fixed rate until stopped is closed.
func (d *demonstration) sendRequests(stopped <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / d.options.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			d.client.Send()
		}
	}
}

// classes returns the classes of the operator's file for the client.
func (d *demonstration) classes() (classes []load.Class) {
	for i, class := range d.operator.Classes {
		c := load.Class{
			Name: class.Name, Fraction: classFractions[i%len(classFractions)], DeadlineMs: class.DeadlineMs, Write: class.Uncached, PartsPerObject: 1,
		}
		if class.Multipart {
			c.PartsPerObject = partsPerObject
		}
		classes = append(classes, c)
	}
	return classes
}
