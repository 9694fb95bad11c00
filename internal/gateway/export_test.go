package gateway

// NewSlowConn is newSlowConn for tests.
var NewSlowConn = newSlowConn
