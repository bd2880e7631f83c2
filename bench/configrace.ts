import type { Bench } from './bench.js';
import { race } from './configrace/race.js';

const LOST_SHARE = 0.2;
const LATE_WRITE_MS = 200;

/**
 * Runs 200 concurrent changes by two operators. One in five answers of the store is lost. Of the writes whose answer
 * is lost, half take effect, a quarter take effect later, and a quarter never do. Arguments: the seed, 1 by
 * default, and `gateway` to use the etcd driver over HTTP in real time.
 */
export const configRace: Bench = ([seed = '1', via = 'memory']) =>
  race({
    seed: Number(seed),
    via: via === 'gateway' ? 'gateway' : 'memory',
    operators: 2,
    changes: 200,
    faults: {
      maxDelayMs: 20,
      lostReadShare: LOST_SHARE,
      lostAnswerShare: LOST_SHARE / 2,
      lostRequestShare: LOST_SHARE / 4,
      lateWriteShare: LOST_SHARE / 4,
      lateWriteMs: LATE_WRITE_MS,
    },
  });
