import type { Writable } from 'node:stream';
import winston from 'winston';
import type { Clock } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import { LineBudget } from './linebudget.js';

/** Options of a bounded log. */
interface BoundedLogOptions {
  readonly process: string;
  readonly out: Writable;
  readonly clock: Clock;
}

/**
 * A line costs 26 to 44 us (20,000 lines to a stream that discards them, on a busy machine), so that a full
 * budget takes at most 3% of half a core.
 */
const BUDGET = { ordinary: 120, important: 200 };
/** With this much waiting for a reader, nothing more is written: about 3 s of a full budget. */
const MOST_WAITING_BYTES = 262_144;
/** The message and end of lines that are left out first. */
const ORDINARY_MESSAGE = 'request';
const ORDINARY_END = 'answered';

/**
 * A structured log, one JSON object a line. It never waits: lines beyond its budget, or that nobody
 * reads, are left out and counted.
 */
export function createBoundedLog({ process, out, clock }: BoundedLogOptions): Log {
  const logger = winston.createLogger({
    defaultMeta: { process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: out })],
  });
  const budget = new LineBudget(BUDGET);
  const isStalled = () => out.writableLength > MOST_WAITING_BYTES;
  const write =
    (level: 'info' | 'warn' | 'error') =>
    (message: string, fields: Readonly<Record<string, unknown>> = {}) => {
      const leftOut = isStalled() ? 0 : budget.turn(clock.nowMs());
      if (leftOut > 0) logger.warn('lines left out', { leftOut });
      const isOrdinary = message === ORDINARY_MESSAGE && fields.end === ORDINARY_END;
      if (isStalled()) budget.lose();
      else if (budget.take(isOrdinary)) logger.log(level, message, fields);
    };
  return { info: write('info'), warn: write('warn'), error: write('error') };
}
