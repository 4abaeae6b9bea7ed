// Package radishconfig stores accepted rules in the platform and keeps them in force on a VM. A configuration
// is accepted by one conditional update of a head object that names content-addressed shards; a VM moves only
// to a higher generation, whatever it reads and from whom.
package radishconfig
