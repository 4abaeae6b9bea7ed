// Package radishstandin provides test doubles for the external systems of radishramp: the platform's object API and
// the targets. Tests and the demo can make them inject faults.
package radishstandin
