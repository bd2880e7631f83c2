import type { AdmissionEffect, AdmissionEvent } from '../../../src/core/admission/index.js';
import type { MakeQueue } from '../queuepolicy.js';

interface Waiting {
  readonly requestId: string;
  readonly deadlineAtMs: number;
}

/** Options of the first-in first-out queue. */
export interface FifoOptions {
  /** Refuses a request at the head whose deadline has passed, and enforces the declared queue limit. */
  readonly expires: boolean;
}

/** First-in first-out queue with a fixed number of slots. */
export function fifo({ expires }: FifoOptions): MakeQueue {
  return ({ slots, queueLimit }) => {
    const waiting: Waiting[] = [];
    let running = 0;
    const fill = (nowMs: number): AdmissionEffect[] => {
      const effects: AdmissionEffect[] = [];
      while (running < slots && waiting.length > 0) {
        const { requestId, deadlineAtMs } = waiting.shift()!;
        if (expires && deadlineAtMs < nowMs) {
          effects.push({
            type: 'refuse',
            requestId,
            failure: 'deadline-unmeetable',
            retryAfterMs: 0,
          });
        } else {
          running += 1;
          effects.push({ type: 'start', requestId });
        }
      }
      return effects;
    };
    const handlers: Partial<
      Record<AdmissionEvent['type'], (event: never, nowMs: number) => readonly AdmissionEffect[]>
    > = {
      offered: ({ offer }: Extract<AdmissionEvent, { type: 'offered' }>, nowMs) => {
        const { requestId, remainingMs } = offer;
        if (expires && waiting.length >= queueLimit) {
          return [{ type: 'refuse', requestId, failure: 'queue-full', retryAfterMs: 0 }];
        }
        waiting.push({ requestId, deadlineAtMs: nowMs + remainingMs });
        return fill(nowMs);
      },
      released: (_event, nowMs) => {
        running -= 1;
        return fill(nowMs);
      },
      abandoned: ({ requestId }: Extract<AdmissionEvent, { type: 'abandoned' }>) => {
        const at = waiting.findIndex((other) => other.requestId === requestId);
        if (at >= 0) waiting.splice(at, 1);
        return [];
      },
    };
    return {
      step: (event, nowMs) => handlers[event.type]?.(event as never, nowMs) ?? [],
      load: (atMs) => ({ running, queued: waiting.length, slots, estimatedWaitMs: 0, atMs }),
    };
  };
}
