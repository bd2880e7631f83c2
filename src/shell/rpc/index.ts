/** Shared by both ends of the gRPC hop between entry and sidecar: channel options, batching and flow-control credit. */
export { Batcher } from './batcher.js';
export { channelOptions } from './channeloptions.js';
export { creditCost } from './creditcost.js';
export { INITIAL_CREDIT } from './initialcredit.js';
