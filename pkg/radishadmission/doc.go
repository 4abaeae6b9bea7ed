// Package radishadmission decides which plans of stage work run, wait or are refused where callers compete for too little capacity. It
// takes the time as an argument and does no input or output. The load that it addresses: less urgent work fills the queues of the stage
// targets, and urgent work that arrives after it is refused because of it.
package radishadmission
