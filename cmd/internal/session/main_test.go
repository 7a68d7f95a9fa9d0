package session_test

import (
	"net/http"
	"os"
	"testing"
	"time"
)

// transport is shared by all clients, so that polling reuses connections.
var transport = &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}

func TestMain(m *testing.M) { os.Exit(m.Run()) }
