package gateway

// NewFrontServer gives tests the server of callers.
var NewFrontServer = newFrontServer
