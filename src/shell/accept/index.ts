/** Limits the connections that a listener accepts while the process is overloaded. */
export { AcceptGate } from './acceptgate.js';
export { gateConnections } from './gateconnections.js';
