package gateways

import (
	"sync"
	"time"
)

// mostBudgets bounds the routes whose callers' budgets are remembered.
const mostBudgets = 4096

// budgets remembers the largest time that callers of each route give, which is
// what they have when they first ask. A caller that comes back has less. It is
// safe for concurrent use.
type budgets struct {
	mutex   sync.Mutex
	largest map[string]time.Duration
}

func newBudgets() *budgets {
	return &budgets{largest: map[string]time.Duration{}}
}

// spent returns how much of its time a caller with this budget has spent since it
// first asked, zero if it gave none.
func (budgets *budgets) spent(route string, budget time.Duration) time.Duration {
	if budget <= 0 {
		return 0
	}
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	largest := budgets.largest[route]
	if budget <= largest {
		return largest - budget
	}
	if len(budgets.largest) < mostBudgets {
		budgets.largest[route] = budget
	}
	return 0
}
