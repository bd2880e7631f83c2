/**
 * Which of several replicas takes a request, when many entries choose at once by loads that are some hundred ms old.
 * Input: what each replica costs and whether it can take more; the choice is always one of those given.
 */
export { pickReplica } from './pickreplica.js';
export type { ReplicaCost } from './replicacost.js';
export { sampleSize } from './samplesize.js';
