/** Admission for plain services: expected answer times, and whether one more request can be answered in time. */
export { expectedAnswerMs } from './expectedanswerms.js';
export { learnService } from './learnservice.js';
export { mayJoin } from './mayjoin.js';
export { plainWaitRules } from './plainwaitrules.js';
