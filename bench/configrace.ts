import type { Bench } from './bench.js';
import { race } from './configrace/race.js';

const LOST_SHARE = 0.2;
const LATE_WRITE_MS = 200;

/**
 * Two operators, 200 racing changes, answers lost at one in five. Of the writes that lose theirs,
 * half take effect, a quarter never do, and a quarter do so later. Argument: the seed, 1 by default.
 */
export const configRace: Bench = ([seed = '1']) =>
  race({
    seed: Number(seed),
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
