import type { Writable } from 'node:stream';
import winston from 'winston';
import type { Clock } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import { LineBudget } from './linebudget.js';
import type { LineKind } from './linekind.js';
import { stateMessages } from './statemessages.js';

/** Options of a bounded log. */
interface BoundedLogOptions {
  readonly process: string;
  readonly out: Writable;
  readonly clock: Clock;
}

/**
 * Lines per second. One line takes 26 to 44 us of processor time, so all limits together use at most 3% of half a
 * core.
 */
const LINES_PER_SECOND: Readonly<Record<LineKind, number>> = {
  ordinary: 120,
  state: 20,
  connection: 20,
  decision: 180,
};
/** No lines are written while this much output is buffered: about 3 s at the full rate. */
const MAX_BUFFERED_BYTES = 262_144;
const REQUEST_MESSAGE = 'request';
/**
 * An overloaded process closes hundreds of connections and gives up as many answers a second; a few lines show why, the
 * counters how many.
 */
const CONNECTION_MESSAGES = new Set([
  'answer given up for memory',
  'connection ended without an answer',
  'caller connection closed',
]);
const ORDINARY_END = 'answered';

function kindOf(message: string, { end }: Readonly<Record<string, unknown>>): LineKind {
  if (stateMessages.has(message)) return 'state';
  if (CONNECTION_MESSAGES.has(message)) return 'connection';
  return message === REQUEST_MESSAGE && end === ORDINARY_END ? 'ordinary' : 'decision';
}

/**
 * Creates a structured log that writes one JSON object per line and never blocks. Lines beyond the rate limit, or
 * written while the reader has stalled, are dropped and counted.
 */
export function createBoundedLog({ process, out, clock }: BoundedLogOptions): Log {
  const logger = winston.createLogger({
    defaultMeta: { process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: out })],
  });
  const budget = new LineBudget(LINES_PER_SECOND);
  const isStalled = () => out.writableLength > MAX_BUFFERED_BYTES;
  const write =
    (level: 'info' | 'warn' | 'error') =>
    (message: string, fields: Readonly<Record<string, unknown>> = {}) => {
      const droppedCount = isStalled() ? 0 : budget.startSecond(clock.nowMs());
      if (droppedCount > 0) logger.warn('lines left out', { leftOut: droppedCount });
      if (isStalled()) budget.countDropped();
      else if (budget.take(kindOf(message, fields))) logger.log(level, message, fields);
    };
  return { info: write('info'), warn: write('warn'), error: write('error') };
}
