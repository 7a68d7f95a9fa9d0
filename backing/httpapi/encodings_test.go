package httpapi

import (
	"encoding/json"
	"testing"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet/fleettest"
)

// Guards against a renamed field that changes a message of the stand-in, which a
// client or server of an earlier build sends or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"row":              new(backing.Row),
		"transaction":      new(backing.Txn),
		"VM listing":       new(backing.VMListing),
		"VM changes":       new(backing.VMChanges),
		"error":            new(errorBody),
		"key request":      new(keyRequest),
		"newer request":    new(newerRequest),
		"newer response":   new(newerResponse),
		"changes request":  new(changesRequest),
		"range request":    new(rangeRequest),
		"rows response":    new(rowsResponse),
		"versions":         new(versionsResponse),
		"put request":      new(putRequest),
		"value response":   new(valueResponse),
		"keys response":    new(keysResponse),
		"VM request":       new(vmRequest),
		"worker request":   new(workerRequest),
		"tasks response":   new(tasksResponse),
		"fault settings":   new(FaultSettings),
		"VM settings":      new(VMSettings),
		"list settings":    new(ListSettings),
		"add VMs request":  new(addVMsRequest),
		"add VMs response": new(addVMsResponse),
	}, json.Marshal, json.Unmarshal)
}
