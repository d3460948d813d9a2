package main

import (
	"net/http"
	"sync"
	"time"
)

// playLeave lets a fifth of the clients of an order leave before the answer.
func playLeave(wo *world) (bool, error) {
	wo.store.put("op/config", orderConfiguration(7, "wuno96b"))
	for _, zone := range zones {
		if _, err := wo.startEngine("wuno96b", zone, 6, 0, "--plain", "--first", "300ms"); err != nil {
			return false, err
		}
	}
	if err := wo.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	begin := time.Now()
	var mu sync.Mutex
	served, left, wrong := 0, 0, 0
	every(100*time.Millisecond, begin.Add(10*time.Second), func(number int) {
		ca := &call{host: wo.hosts[number%len(wo.hosts)], method: http.MethodPost, path: "/puxa403/2f", header: map[string]string{"Authorization": "Bearer " + streamKey}, body: "order"}
		if wo.trouble && number%5 == 0 {
			ca.leaveAfter = 100 * time.Millisecond
		}
		wo.send(ca, 3*time.Second)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ca.status/100 == 2 && !ca.signed:
			wrong++
			wo.record("MIXED: client of %s got %d without a signature", ca.id, ca.status)
		case ca.status == http.StatusOK && ca.complete:
			served++
		}
		if ca.leaveAfter > 0 {
			left++
		}
	})
	wo.record("SUMMARY %d served, %d left early, %d got a success without a signature", served, left, wrong)
	if served < 20 {
		return false, errNotServed
	}
	return wrong > 0, nil
}
