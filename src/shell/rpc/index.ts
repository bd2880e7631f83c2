/** What both ends of the gRPC hop share: its options, batching and the credit of an answer. */
export { Batcher } from './batcher.js';
export { channelOptions } from './channeloptions.js';
export { creditCost } from './creditcost.js';
export { INITIAL_CREDIT } from './initialcredit.js';
