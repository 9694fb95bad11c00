// Package flamingodoor holds the domain types, typed errors and interfaces of a
// serving system for language models that span several hosts. The
// implementations are in the packages below internal and in package platform.
package flamingodoor

//go:generate go tool -modfile=tools/go.mod enumer -type=EndpointKind,EndpointState,RunState,Code,Acceptance,MembershipState,RouteKind,DialResult,OrderKind,OrderResult -transform=snake -trimprefix=EndpointKind,EndpointState,RunState,Code,Acceptance,MembershipState,RouteKind,DialResult,OrderKind,OrderResult -text -output=enums_enumer.go
